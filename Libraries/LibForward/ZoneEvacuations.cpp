#include "lavenderpick/Forward/ZoneEvacuations.h"

#include "lavenderpick/Forward/StorePosition.h"

#include <algorithm>
#include <set>

namespace Lavenderpick {

namespace {

/// Whether the first position is of an earlier era of the store.
bool isEarlierEra(std::int64_t earlier, std::int64_t later)
{
    return StorePosition::fromNumber(earlier).era < StorePosition::fromNumber(later).era;
}

} // namespace

ZoneEvacuations::Result ZoneEvacuations::apply(const EvacuationUpdate &update)
{
    Result result;
    const bool isNewestListing = update.listedAt && *update.listedAt >= m_listedAt;
    for (const ZoneEvacuation &entry : update.zones) {
        // A listing of a later era is from a copy that may lack the entry.
        if (isNewestListing || entry.revision > m_listedAt
            || isEarlierEra(entry.revision, m_listedAt))
            applyEntry(entry, result);
        else if (entry.evacuated && !m_zones.contains(entry.zone))
            // The listing shows that it has ended, which the sender does not know.
            applyEntry({ .zone = entry.zone, .revision = m_listedAt }, result);
    }
    if (isNewestListing)
        endMissing(update, result);
    return result;
}

void ZoneEvacuations::applyEntry(const ZoneEvacuation &entry, Result &result)
{
    const auto known = m_zones.find(entry.zone);
    if (known != m_zones.end() && entry.revision <= known->second.revision)
        return;
    if (known == m_zones.end()
        && (m_zones.size() >= maximumZones || entry.zone.empty()
            || entry.zone.size() > maximumZoneBytes)) {
        result.ignored.push_back(entry.zone);
        return;
    }
    const bool wasEvacuated = known != m_zones.end() && known->second.evacuated;
    m_zones[entry.zone] = entry;
    result.isNews = true;
    if (entry.evacuated != wasEvacuated)
        result.changes.push_back(entry);
}

void ZoneEvacuations::endMissing(const EvacuationUpdate &listing, Result &result)
{
    const bool beginsEra = m_listedAt > 0 && isEarlierEra(m_listedAt, *listing.listedAt);
    m_listedAt = *listing.listedAt;
    // The store came back from an older copy, which may lack an evacuation that holds.
    if (beginsEra)
        return;
    std::set<std::string> listed;
    for (const ZoneEvacuation &entry : listing.zones)
        listed.insert(entry.zone);
    for (auto &[zone, entry] : m_zones) {
        if (!entry.evacuated || entry.revision > m_listedAt || listed.contains(zone))
            continue;
        entry.revision = m_listedAt;
        entry.evacuated = false;
        result.isNews = true;
        result.changes.push_back(entry);
    }
}

bool ZoneEvacuations::isEvacuated(const std::string &zone) const
{
    const auto known = m_zones.find(zone);
    return known != m_zones.end() && known->second.evacuated;
}

std::vector<ZoneEvacuation> ZoneEvacuations::entries() const
{
    std::vector<ZoneEvacuation> entries;
    for (const auto &[zone, entry] : m_zones)
        entries.push_back(entry);
    return entries;
}

std::size_t ZoneEvacuations::evacuatedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_zones.begin(), m_zones.end(),
                          [](const auto &entry) { return entry.second.evacuated; }));
}

} // namespace Lavenderpick
