#pragma once

namespace Lavenderpick::StandIns {

/// Run a stand-in for an engine, the platform or a plain service until SIGTERM or SIGINT and return
/// the exit code.
int runEngineCommand(int argc, char **argv);
int runPlatformCommand(int argc, char **argv);
int runServiceCommand(int argc, char **argv);

} // namespace Lavenderpick::StandIns
