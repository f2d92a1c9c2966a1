#include "Services/Entry/EntrySettings.h"

#include "lavenderpick/Settings/ClusterKey.h"
#include "lavenderpick/Settings/SettingsReader.h"

namespace Lavenderpick {

namespace {

constexpr Range<std::int64_t> ports { 1, 65'535 };
constexpr Range<Duration> jobDeadlineRange { Seconds(1), std::chrono::hours(30 * 24) };
constexpr Range<Duration> periodRange { Milliseconds(10), Seconds(3600) };

LogLevel readLogLevel(const SettingsMap &map)
{
    return parseLogLevel(map.choice("level", { "debug", "info", "warning", "error" }, "info"));
}

} // namespace

EntryPeriods EntryPeriods::parse(const SettingsMap &map)
{
    const EntryPeriods defaults;
    return {
        .documentPoll = map.duration("document_poll", periodRange, defaults.documentPoll),
        .vmListPoll = map.duration("vm_list_poll", periodRange, defaults.vmListPoll),
        .subscribe = map.duration("subscribe", periodRange, defaults.subscribe),
        .gossip = map.duration("gossip", periodRange, defaults.gossip),
        .holderRenewal = map.duration("holder_renewal", periodRange, defaults.holderRenewal),
        .holderScan = map.duration("holder_scan", periodRange, defaults.holderScan),
        .recordSweep = map.duration("record_sweep", periodRange, defaults.recordSweep),
    };
}

HttpServerLimits EntryCaps::httpLimits() const
{
    return {
        .threads = static_cast<std::size_t>(openRequests),
        .waitingConnections = static_cast<std::size_t>(waitingConnections),
        .bodyBytes = static_cast<std::size_t>(bodyBytes),
    };
}

EntryCaps EntryCaps::parse(const SettingsMap &map)
{
    const EntryCaps defaults;
    return {
        .openRequests = map.integer("open_requests", { 1, 10'000 }, defaults.openRequests),
        .waitingConnections =
                map.integer("waiting_connections", { 0, 10'000 }, defaults.waitingConnections),
        .waitingRequests = map.integer("waiting_requests", { 1, 10'000 }, defaults.waitingRequests),
        .bodyBytes = map.bytes("body", { 1024, 64 * 1024 * 1024 }, defaults.bodyBytes),
        .jobs = map.integer("jobs", { 1, 1'000 }, defaults.jobs),
        .defaultDeadline = map.duration("default_deadline", { Milliseconds(100), Seconds(86'400) },
                                        defaults.defaultDeadline),
        .maximumDeadline = map.duration("maximum_deadline", { Milliseconds(100), Seconds(86'400) },
                                        defaults.maximumDeadline),
        .defaultJobDeadline =
                map.duration("default_job_deadline", jobDeadlineRange, defaults.defaultJobDeadline),
        .maximumJobDeadline =
                map.duration("maximum_job_deadline", jobDeadlineRange, defaults.maximumJobDeadline),
        .streamSilence = map.duration("stream_silence", { Milliseconds(100), Seconds(60) },
                                      defaults.streamSilence),
        .drainNotice =
                map.duration("drain_notice", { Duration {}, Seconds(600) }, defaults.drainNotice),
    };
}

std::string EntrySettings::address() const
{
    return host + ":" + std::to_string(port);
}

EntrySettings EntrySettings::parse(const SettingsMap &root)
{
    const SettingsMap listen = root.map("listen");
    return {
        .name = root.text("name"),
        .host = listen.text("host"),
        .port = static_cast<int>(listen.integer("port", ports)),
        .datagramPort = static_cast<int>(listen.integer("datagram_port", ports)),
        .region = root.text("region"),
        .availabilityZone = root.text("availability_zone"),
        .clusterKey = readClusterKey(root.map("cluster")),
        .platformAddress = root.map("platform").text("address"),
        .peers = root.texts("peers"),
        .subsetSize = root.integer("subset_size", { 1, 4'096 }, EntrySettings {}.subsetSize),
        .logLevel = readLogLevel(root.map("log")),
        .periods = EntryPeriods::parse(root.map("periods")),
        .caps = EntryCaps::parse(root.map("caps")),
    };
}

EntrySettings EntrySettings::fromFile(const std::string &path)
{
    const SettingsReader reader = SettingsReader::fromFile(path);
    EntrySettings settings = parse(reader.root());
    reader.finish();
    return settings;
}

} // namespace Lavenderpick
