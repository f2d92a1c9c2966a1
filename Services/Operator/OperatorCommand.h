#pragma once

namespace Lavenderpick {

/// Runs `document`, `upstream` or `status`; `argv[0]` is the subcommand's name. Returns the exit
/// code.
int runOperatorCommand(int argc, char **argv);

} // namespace Lavenderpick
