#include "Services/Gateway/GatewaySettings.h"

#include <algorithm>

namespace Lavenderpick {

GatewaySettings GatewaySettings::parse(const SettingsMap &root)
{
    const SettingsMap listen = root.map("listen");
    const SettingsMap platform = root.map("platform");
    const SettingsMap retries = root.map("retries");
    const SettingsMap engines = root.map("engines");
    const GatewaySettings defaults;
    const Range<Duration> limitRange { Milliseconds(500), Seconds(60) };
    return {
        .name = root.text("name"),
        .availabilityZone = root.text("availability_zone"),
        .callerAddress = listen.text("callers"),
        .readinessAddress = listen.text("readiness"),
        .peerAddress = listen.text("peers"),
        .metricsAddress = listen.text("metrics", ""),
        .platformAddress = platform.text("address"),
        .propagationLimit = std::min(
                { platform.duration("configuration_limit", limitRange, defaults.propagationLimit),
                  platform.duration("draining_limit", limitRange, defaults.propagationLimit),
                  platform.duration("evacuation_limit", limitRange, limitRange.maximum) }),
        .seeds = root.texts("seeds"),
        .stopGrace = root.duration("stop_grace", { Milliseconds(500), Seconds(600) },
                                   defaults.stopGrace),
        .memoryBytes = root.bytes("memory", { 16 * 1024 * 1024, INT64_MAX }, defaults.memoryBytes),
        .retryBudget = { .ratio = retries.number("ratio", { 0, 10 }, defaults.retryBudget.ratio),
                         .slack = retries.number("slack", { 0, 1e6 }, defaults.retryBudget.slack),
                         .window = retries.duration("window", { Seconds(1), Seconds(3600) },
                                                    defaults.retryBudget.window) },
        .queueOrder =
                root.map("queue").choice("order", { "earliest_start", "fair" }, "earliest_start")
                        == "fair"
                ? QueueOrder::Fair
                : QueueOrder::EarliestStart,
        .engineSpeed = engines.choice("speed", { "published", "learned" }, "published") == "learned"
                ? EngineSpeedSource::Learned
                : EngineSpeedSource::Published,
        .unusedReservationLimit =
                engines.duration("unused_reservation_limit", { Seconds(2), Seconds(600) },
                                 defaults.unusedReservationLimit),
        .promptRetention = engines.duration("prompt_retention", { Duration {}, Seconds(86'400) },
                                            defaults.promptRetention),
        .logLevel = parseLogLevel(
                root.map("log").choice("level", { "debug", "info", "warning", "error" }, "info")),
    };
}

GatewaySettings GatewaySettings::fromFile(const std::string &path)
{
    const SettingsReader reader = SettingsReader::fromFile(path);
    GatewaySettings settings = parse(reader.root());
    reader.finish();
    return settings;
}

} // namespace Lavenderpick
