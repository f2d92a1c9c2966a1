#pragma once

namespace Lavenderpick {

/// Runs the subcommand with the arguments that follow its name and returns the exit code.
int runLoadCommand(int argc, char **argv);

} // namespace Lavenderpick
