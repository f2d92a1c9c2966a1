#pragma once

#include "Services/Gateway/GatewaySettings.h"

#include <functional>
#include <string>

namespace Lavenderpick {

/// Serves with the settings, which were read from `path`, until the process should exit.
using ServeFunction = std::function<void(const GatewaySettings &settings, const std::string &path)>;

/// Reads the command line and the settings of `lavenderpick gateway`, does what they ask for, and
/// returns the exit code. `pathVariable`: environment variable that names the settings file if the
/// command line doesn't.
int runGatewayCommandLine(int argc, char **argv, const char *pathVariable,
                          const ServeFunction &serve);

} // namespace Lavenderpick
