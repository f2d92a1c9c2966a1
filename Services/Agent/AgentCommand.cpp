#include "AgentCommand.h"

#include "Services/Agent/Agent.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Platform/HttpPlatform.h"

#include <cxxopts.hpp>
#include <iostream>

namespace Lavenderpick {

namespace {

constexpr int usageExitCode = 2;

int serve(const AgentSettings &settings)
{
    initializeLog(settings.logLevel, settings.name);
    const SystemClock clock;
    SystemRandom random;
    HttpPlatform platform(settings.platformAddress, clock);
    Agent agent(settings,
                { .clock = clock, .random = random, .table = platform, .objects = platform });
    log(LogLevel::Info, "agent", "Serving",
        { { "port", agent.port() }, { "upstream", settings.upstream.name } });
    agent.run();
    return 0;
}

} // namespace

int runAgentCommand(int argc, char **argv)
{
    cxxopts::Options options("lavenderpick agent", "Guards the upstream beside this process.");
    options.add_options()("settings", "settings file (YAML)", cxxopts::value<std::string>())(
            "check-settings", "check the settings and exit")("help", "show this text");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help() << '\n';
            return 0;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "Name a settings file with --settings.\n" << options.help() << '\n';
            return usageExitCode;
        }
        const AgentSettings settings =
                AgentSettings::fromFile(arguments["settings"].as<std::string>());
        if (arguments.count("check-settings") == 0)
            return serve(settings);
        std::cout << "The settings are valid.\n";
        return 0;
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << ". See 'lavenderpick agent --help'.\n";
        return usageExitCode;
    } catch (const Error &error) {
        std::cerr << error.what() << '\n';
        return usageExitCode;
    }
}

} // namespace Lavenderpick
