#include "ServerCommands.h"

#include "PlatformServer.h"
#include "ServiceServer.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

namespace Lavenderpick::StandIns {

namespace {

template <typename Make>
int runServer(int argc, char **argv, cxxopts::Options &options, Make make)
try {
    options.add_options()("help", "show this text")("port", "loopback port; 0 picks one",
                                                    cxxopts::value<int>()->default_value("0"));
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help() << '\n';
        return 0;
    }
    // Threads inherit the mask, so that only this thread receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto server = make(arguments);
    std::cout << "listening on 127.0.0.1:" << server->start(arguments["port"].template as<int>())
              << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
} catch (const std::exception &error) {
    std::cerr << error.what() << '\n';
    return 2;
}

} // namespace

int runPlatformCommand(int argc, char **argv)
{
    cxxopts::Options options("lavenderpick-standins platform",
                             "A stand-in for the platform's services.");
    options.add_options()("vm-lag-ms", "time until the VM list shows a change",
                          cxxopts::value<int>()->default_value("0"))(
            "weights-per-minute", "downloads that the weight store admits",
            cxxopts::value<int>()->default_value("60"));
    return runServer(argc, argv, options, [](const cxxopts::ParseResult &arguments) {
        return std::make_unique<PlatformServer>(
                PlatformOptions { .vmLag = Milliseconds(arguments["vm-lag-ms"].as<int>()),
                                  .weightsPerMinute = arguments["weights-per-minute"].as<int>() });
    });
}

int runServiceCommand(int argc, char **argv)
{
    cxxopts::Options options("lavenderpick-standins service", "A stand-in for a plain service.");
    return runServer(argc, argv, options, [](const cxxopts::ParseResult &) {
        return std::make_unique<ServiceServer>();
    });
}

} // namespace Lavenderpick::StandIns
