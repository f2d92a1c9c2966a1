#include "EngineCommand.h"

#include "EngineServer.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

namespace Lavenderpick::StandIns {

namespace {

cxxopts::Options engineOptions()
{
    const EngineOptions defaults;
    const auto number = [](auto value) {
        return cxxopts::value<decltype(value)>()->default_value(std::to_string(value));
    };
    cxxopts::Options options("lavenderpick-standins engine", "A stand-in for a model engine.");
    options.add_options()("help", "show this text")("port", "loopback port; 0 picks one",
                                                    cxxopts::value<int>()->default_value("0"))(
            "name", "name in handles", cxxopts::value<std::string>()->default_value(defaults.name))(
            "kv-capacity", "KV memory in tokens", number(defaults.kvCapacity))(
            "token-budget", "tokens of one step", number(defaults.tokenBudget))(
            "step-ms", "time of a step without prefill",
            number(defaults.stepMilliseconds))("prefill-us", "time of one prefilled token",
                                               number(defaults.prefillMicrosecondsPerToken))(
            "attention-ns", "time of each pair of a prefilled and an earlier token",
            number(defaults.attentionNanosecondsPerPair))("time-scale", "real over simulated time",
                                                          number(defaults.timeScale))(
            "load-lag-ms", "age a load report reaches", number(defaults.loadLagMilliseconds))(
            "event-delay-ms", "delay of cache events", number(defaults.eventDelayMilliseconds))(
            "event-gap", "lose every n-th cache event; 0 loses none",
            number(defaults.eventGap))("heartbeat-ms", "interval of SSE comments; 0 sends none",
                                       number(defaults.heartbeatMilliseconds))(
            "order-ms", "time until an order takes effect",
            number(defaults.orderMilliseconds))("ignore-fence", "accept orders with an old fence")(
            "models", "names of the loaded models",
            cxxopts::value<std::vector<std::string>>()->default_value("lavender-1"));
    return options;
}

EngineOptions readOptions(const cxxopts::ParseResult &arguments)
{
    return { .name = arguments["name"].as<std::string>(),
             .kvCapacity = arguments["kv-capacity"].as<std::int64_t>(),
             .tokenBudget = arguments["token-budget"].as<std::int64_t>(),
             .stepMilliseconds = arguments["step-ms"].as<double>(),
             .prefillMicrosecondsPerToken = arguments["prefill-us"].as<double>(),
             .attentionNanosecondsPerPair = arguments["attention-ns"].as<double>(),
             .timeScale = arguments["time-scale"].as<double>(),
             .loadLagMilliseconds = arguments["load-lag-ms"].as<int>(),
             .eventDelayMilliseconds = arguments["event-delay-ms"].as<int>(),
             .eventGap = arguments["event-gap"].as<int>(),
             .heartbeatMilliseconds = arguments["heartbeat-ms"].as<int>(),
             .orderMilliseconds = arguments["order-ms"].as<int>(),
             .ignoreFence = arguments.count("ignore-fence") > 0,
             .models = arguments["models"].as<std::vector<std::string>>() };
}

} // namespace

int runEngineCommand(int argc, char **argv)
{
    try {
        cxxopts::Options options = engineOptions();
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

        EngineServer server(readOptions(arguments));
        std::cout << "listening on 127.0.0.1:" << server.start(arguments["port"].as<int>())
                  << std::endl;
        int signal = 0;
        sigwait(&signals, &signal);
        return 0;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}

} // namespace Lavenderpick::StandIns
