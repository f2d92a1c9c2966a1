#include "ServerCommands.h"

#include "EngineServer.h"
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

template <typename Value>
struct EngineFlag
{
    const char *name;
    Value EngineOptions::*field;
    const char *description;
};

constexpr EngineFlag<int> wholeFlags[] {
    { "load-lag-ms", &EngineOptions::loadLagMilliseconds, "age that a load report reaches" },
    { "event-delay-ms", &EngineOptions::eventDelayMilliseconds, "delay of cache events" },
    { "event-gap", &EngineOptions::eventGap, "lose every n-th cache event; 0 loses none" },
    { "heartbeat-ms", &EngineOptions::heartbeatMilliseconds, "interval of SSE comments; 0: none" },
    { "order-ms", &EngineOptions::orderMilliseconds, "time until an order takes effect" },
};
constexpr EngineFlag<std::int64_t> tokenFlags[] {
    { "kv-capacity", &EngineOptions::kvCapacity, "KV memory in tokens" },
    { "token-budget", &EngineOptions::tokenBudget, "tokens of one step" },
};
constexpr EngineFlag<double> realFlags[] {
    { "step-ms", &EngineOptions::stepMilliseconds, "time of a step without prefill" },
    { "prefill-us", &EngineOptions::prefillMicrosecondsPerToken, "time of a prefilled token" },
    { "attention-ns", &EngineOptions::attentionNanosecondsPerPair,
      "time of each pair of a prefilled and an earlier token" },
    { "time-scale", &EngineOptions::timeScale, "real over simulated time" },
};

template <typename Visit>
void forEachEngineFlag(Visit visit)
{
    for (const auto &flag : wholeFlags)
        visit(flag);
    for (const auto &flag : tokenFlags)
        visit(flag);
    for (const auto &flag : realFlags)
        visit(flag);
}

} // namespace

int runEngineCommand(int argc, char **argv)
{
    cxxopts::Options options("lavenderpick-standins engine", "A stand-in for a model engine.");
    const EngineOptions defaults;
    auto add = options.add_options();
    add("name", "name in handles", cxxopts::value<std::string>()->default_value(defaults.name));
    add("ignore-fence", "accept orders with an old fence");
    add("models", "names of the loaded models",
        cxxopts::value<std::vector<std::string>>()->default_value(defaults.models.front()));
    forEachEngineFlag([&]<typename Value>(const EngineFlag<Value> &flag) {
        add(flag.name, flag.description,
            cxxopts::value<Value>()->default_value(std::to_string(defaults.*flag.field)));
    });
    return runServer(argc, argv, options, [](const cxxopts::ParseResult &arguments) {
        EngineOptions engine { .name = arguments["name"].as<std::string>(),
                               .ignoreFence = arguments.count("ignore-fence") > 0,
                               .models = arguments["models"].as<std::vector<std::string>>() };
        forEachEngineFlag([&]<typename Value>(const EngineFlag<Value> &flag) {
            engine.*flag.field = arguments[flag.name].template as<Value>();
        });
        return std::make_unique<EngineServer>(engine);
    });
}

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
