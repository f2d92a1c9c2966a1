#include "Services/Gateway/EvacuationUpdates.h"

#include "Services/Gateway/GatewayState.h"
#include "lavenderpick/Base/Log.h"

#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

constexpr const char *zonesMetric = "lavenderpick_evacuated_zones";

std::string_view toString(EvacuationUpdates::Source source)
{
    return source == EvacuationUpdates::Source::Store ? "store" : "peer";
}

} // namespace

EvacuationUpdates::EvacuationUpdates(GatewayState &state)
    : m_state(state)
{
    state.metrics.setGauge(zonesMetric, "", 0);
}

bool EvacuationUpdates::apply(const EvacuationUpdate &update, Source source)
{
    const ZoneEvacuations::Result result = m_state.upstreams.applyEvacuations(update);
    for (const ZoneEvacuation &change : result.changes) {
        // Upstreams may have become cold during the evacuation, and their records may be older.
        if (!change.evacuated)
            m_state.recordZoneReturned(change.zone);
        log(LogLevel::Info, "gateway", change.evacuated ? "zone evacuated" : "evacuation ended",
            { { "zone", change.zone },
              { "revision", change.revision },
              { "source", toString(source) },
              { "upstreams", m_state.upstreams.sizeOfZone(change.zone) } });
    }
    if (!result.changes.empty())
        m_state.metrics.setGauge(
                zonesMetric, "",
                static_cast<double>(m_state.upstreams.evacuations().evacuatedCount()));
    if (!result.ignored.empty())
        logIgnored(result.ignored, source);
    return result.isNews;
}

void EvacuationUpdates::logIgnored(const std::vector<std::string> &zones, Source source)
{
    const TimePoint now = m_state.clock.now();
    if (now < m_nextIgnoredLogAt)
        return;
    m_nextIgnoredLogAt = now + ignoredLogInterval;
    log(LogLevel::Warning, "gateway", "evacuations beyond the limits ignored",
        { { "zones", zones.size() },
          { "first_zone", zones.front().substr(0, ZoneEvacuations::maximumZoneBytes) },
          { "known_zones", m_state.upstreams.evacuations().entries().size() },
          { "source", toString(source) } });
}

} // namespace Lavenderpick
