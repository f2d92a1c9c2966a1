#include "Services/Gateway/GatewayCommandLine.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace Lavenderpick {

namespace {

constexpr int usageExitCode = 2;

cxxopts::Options commandOptions()
{
    cxxopts::Options options("lavenderpick gateway",
                             "Serves callers in front of the platform's upstreams.");
    options.add_options()("settings", "settings file in YAML", cxxopts::value<std::string>())(
            "check-settings", "check the settings file and exit")("help", "show this text");
    return options;
}

std::string settingsPath(const cxxopts::ParseResult &arguments, const char *pathVariable)
{
    if (arguments.count("settings") > 0)
        return arguments["settings"].as<std::string>();
    const char *path = std::getenv(pathVariable);
    return path == nullptr ? "" : path;
}

} // namespace

int runGatewayCommandLine(int argc, char **argv, const char *pathVariable,
                          const ServeFunction &serve)
try {
    // Until it is handled, a hangup would end the process. The settings are read after this.
    std::signal(SIGHUP, SIG_IGN);
    cxxopts::Options options = commandOptions();
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help() << '\n';
        return 0;
    }
    const std::string path = settingsPath(arguments, pathVariable);
    if (path.empty()) {
        std::cerr << "The option --settings is missing. See 'lavenderpick gateway --help'.\n";
        return usageExitCode;
    }
    const GatewaySettings settings = GatewaySettings::fromFile(path);
    if (arguments.count("check-settings") > 0) {
        std::cout << "The settings are correct.\n";
        return 0;
    }
    initializeLog(settings.logLevel, settings.name, LogOutput::StandardOutput);
    std::signal(SIGPIPE, SIG_IGN); // A closed log pipe must not end the process.
    serve(settings, path);
    return 0;
} catch (const cxxopts::exceptions::exception &error) {
    std::cerr << error.what() << "\nSee 'lavenderpick gateway --help'.\n";
    return usageExitCode;
} catch (const Error &error) {
    std::cerr << error.what() << '\n';
    return error.kind() == ErrorKind::InvalidSettings ? usageExitCode : 1;
}

} // namespace Lavenderpick
