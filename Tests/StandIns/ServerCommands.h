#pragma once

namespace Lavenderpick::StandIns {

/// Run a stand-in for the platform or for a plain service until SIGTERM or SIGINT and return the
/// exit code.
int runPlatformCommand(int argc, char **argv);
int runServiceCommand(int argc, char **argv);

} // namespace Lavenderpick::StandIns
