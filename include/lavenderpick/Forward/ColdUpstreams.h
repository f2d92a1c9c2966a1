#pragma once

#include "lavenderpick/Forward/ColdPeriod.h"
#include "lavenderpick/Forward/ServingConfiguration.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

enum class ColdReason {
    Reported,     ///< The upstream's record says so.
    NewProcess,   ///< It was not listed before, or has restarted.
    ZoneReturned, ///< The evacuation of its zone has ended.
};

std::string_view toString(ColdReason reason);

/// An upstream has become cold, its cold period was confirmed or has changed, or it is warm again.
struct ColdChange
{
    std::string upstream;
    std::optional<ColdPeriod> period {}; ///< Empty if it is warm.
    ColdReason reason { ColdReason::Reported };
    bool wasCold { false };

    bool operator==(const ColdChange &) const = default;
};

/// Decides until when each upstream is cold. Not safe for concurrent use.
///
/// Load: an upstream starts under traffic, or all upstreams of a zone get requests again at once.
/// Their records can be one report old, so upstreams that are new here and those of returned zones
/// count as cold whatever their record says. The upstreams of the first complete list don't: they
/// may have run for long. One that is listed again with the same `startedMs` is the same process.
class ColdUpstreams
{
public:
    /// Replaces the services' cold settings, also for upstreams that are cold already.
    void setServices(const std::vector<ServiceProfile> &services);

    /// Applies a complete listing.
    void recordList(const std::vector<UpstreamRecord> &records, TimePoint now);

    /// Applies one record that was read now.
    void recordChange(const UpstreamRecord &record, TimePoint now);

    /// The upstream is not listed any more, or its process has ended.
    void recordGone(const std::string &id, TimePoint now);

    /// The evacuation of a zone has ended.
    void recordZoneReturned(const std::string &zone, TimePoint now);

    /// The changes since the last call.
    std::vector<ColdChange> takeChanges(TimePoint now);

    /// Time for which the upstream is still cold; zero if it is warm.
    Duration left(const std::string &id, TimePoint now) const;

    /// Cold upstreams as of the last `takeChanges`.
    std::size_t size() const { return m_cold.size(); }

private:
    /// How long the processes of upstreams that are no longer listed are known. Entries of the
    /// store that expire in an outage return with the same process.
    static constexpr Duration goneRetention { Seconds(600) };

    struct Process
    {
        std::string service;
        std::string zone;
        std::int64_t startedMs { 0 };
        TimePoint reportedUntil {};
        Duration reportedLeft {}; ///< The longest that its records said.
        std::optional<TimePoint> coldSince {};
        ColdReason reason { ColdReason::Reported }; ///< Of `coldSince`.
        std::optional<TimePoint> goneSince {};
    };
    struct Settings
    {
        Duration duration {};
        double requestsPerSecond { 0 };
    };

    std::optional<ColdPeriod> periodOf(const Process &process, TimePoint now) const;
    ColdReason reasonOf(const Process &process) const;
    Settings settingsOf(const Process &process) const;

    std::map<std::string, Process> m_processes;
    std::map<std::string, Settings> m_services; ///< Only those with cold settings.
    std::map<std::string, ColdPeriod> m_cold;
    std::set<std::string> m_touched; ///< Upstreams to evaluate in `takeChanges`.
    bool m_hasList { false };
};

} // namespace Lavenderpick
