#include "Services/Agent/AgentSettings.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Http/HttpClient.h"
#include "lavenderpick/Settings/ClusterKey.h"
#include "lavenderpick/Settings/SettingsReader.h"

namespace Lavenderpick {

namespace {

constexpr Range<std::int64_t> ports { 0, 65'535 };
constexpr Range<Duration> periods { Milliseconds(10), Seconds(3600) };

std::string readAddress(const SettingsMap &map)
{
    std::string address = map.text("address");
    try {
        if (!address.empty())
            HostAndPort::parse(address);
    } catch (const Error &error) {
        map.addProblem("address", "'" + address + "' is not an address", error.remedy());
    }
    return address;
}

} // namespace

AgentUpstream AgentUpstream::parse(const SettingsMap &map)
{
    AgentUpstream upstream { .name = map.text("name"), .address = readAddress(map) };
    upstream.kind = map.choice("kind", { "engine", "service" }) == "service" ? UpstreamKind::Service
                                                                             : UpstreamKind::Engine;
    if (upstream.kind == UpstreamKind::Service) {
        upstream.service = map.text("service");
        return upstream;
    }
    upstream.checksFencing = map.flag("checks_fencing");
    upstream.model = map.text("model", "");
    return upstream;
}

AttemptTableLimits AgentCaps::attemptLimits() const
{
    return { .abandonAfter = abandonAfter,
             .keepEnded = keepEnded,
             .maximumAttempts = static_cast<std::size_t>(streams) };
}

UpstreamAdmissionSettings AgentCaps::admissionSettings() const
{
    return { .maximumWaiting = static_cast<std::size_t>(waitingAttempts),
             .longPromptTokens = longPromptTokens };
}

HttpServerLimits AgentCaps::httpLimits() const
{
    // Each stream and call holds a thread; some are left for cancels, status and health.
    constexpr std::size_t threadsForControl = 32;
    return { .threads = static_cast<std::size_t>(streams + calls) + threadsForControl,
             .bodyBytes = static_cast<std::size_t>(bodyBytes) };
}

AgentCaps AgentCaps::parse(const SettingsMap &map)
{
    const AgentCaps defaults;
    const Range<std::int64_t> count { 1, 10'000 };
    return {
        .streams = map.integer("streams", count, defaults.streams),
        .waitingAttempts = map.integer("waiting_attempts", count, defaults.waitingAttempts),
        .calls = map.integer("calls", count, defaults.calls),
        .bodyBytes = map.bytes("body", { 1024, 64 * 1024 * 1024 }, defaults.bodyBytes),
        .longPromptTokens =
                map.integer("long_prompt_tokens", { 1, 10'000'000 }, defaults.longPromptTokens),
        .abandonAfter = map.duration("abandon_after", periods, defaults.abandonAfter),
        .keepEnded = map.duration("keep_ended", periods, defaults.keepEnded),
        .streamSilence = map.duration("stream_silence", periods, defaults.streamSilence),
        .engineSilence = map.duration("engine_silence", periods, defaults.engineSilence),
        .drain = map.duration("drain", { Seconds(0), Seconds(86'400) }, defaults.drain),
    };
}

AgentSettings AgentSettings::parse(const SettingsMap &root)
{
    const SettingsMap listen = root.map("listen");
    const SettingsMap intervals = root.map("periods");
    const AgentSettings defaults;
    return {
        .name = root.text("name"),
        .host = listen.text("host"),
        .port = static_cast<int>(listen.integer("port", ports)),
        .datagramPort = static_cast<int>(listen.integer("datagram_port", ports)),
        .region = root.text("region"),
        .availabilityZone = root.text("availability_zone"),
        .clusterKey = readClusterKey(root.map("cluster")),
        .platformAddress = readAddress(root.map("platform")),
        .logLevel = parseLogLevel(
                root.map("log").choice("level", { "debug", "info", "warning", "error" }, "info")),
        .upstream = AgentUpstream::parse(root.map("upstream")),
        .caps = AgentCaps::parse(root.map("caps")),
        .inventoryPeriod = intervals.duration("inventory", periods, defaults.inventoryPeriod),
        .loadPeriod = intervals.duration("load", periods, defaults.loadPeriod),
    };
}

AgentSettings AgentSettings::fromFile(const std::string &path)
{
    const SettingsReader reader = SettingsReader::fromFile(path);
    AgentSettings settings = parse(reader.root());
    reader.finish();
    return settings;
}

} // namespace Lavenderpick
