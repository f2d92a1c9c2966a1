#pragma once

namespace Lavenderpick::StandIns {

/// Runs an engine stand-in until SIGTERM or SIGINT and returns the exit code.
int runEngineCommand(int argc, char **argv);

} // namespace Lavenderpick::StandIns
