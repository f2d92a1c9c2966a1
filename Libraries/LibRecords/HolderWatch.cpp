#include "lavenderpick/Records/HolderWatch.h"

#include "lavenderpick/Records/HolderLease.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Lavenderpick {

namespace {

// Bounds the delay when the list of watchers is long and mostly out of date.
constexpr std::size_t maximumRank = 5;

std::uint64_t weight(const std::string &holder, const std::string &watcher)
{
    const std::string text = holder + '\n' + watcher;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

HolderWatch::HolderWatch(std::string self)
    : m_self(std::move(self))
{ }

void HolderWatch::observe(const std::vector<Row> &holders, TimePoint startedAt,
                          TimePoint finishedAt)
{
    // After a store outage no holder could renew either. Each gets the whole expiry again.
    const bool afterGap = m_lastObserved && startedAt - *m_lastObserved > leaseExpiry;
    std::map<std::string, Sighting> sightings;
    for (const Row &row : holders) {
        const auto known = m_sightings.find(row.key);
        const bool same =
                !afterGap && known != m_sightings.end() && known->second.row.version == row.version;
        const TimePoint firstSeen = same ? known->second.firstSeen : finishedAt;
        const Duration unchanged = std::max(startedAt - firstSeen, Duration::zero());
        sightings.emplace(row.key, Sighting { row, firstSeen, unchanged });
    }
    m_sightings = std::move(sightings);
    m_lastObserved = finishedAt;
}

std::vector<Row> HolderWatch::due(const std::vector<std::string> &watchers) const
{
    std::vector<Row> expired;
    for (const auto &[holder, sighting] : m_sightings) {
        const auto delay = holderWatchInterval * rankFor(holder, watchers);
        if (sighting.unchanged >= leaseExpiry + delay)
            expired.push_back(sighting.row);
    }
    return expired;
}

std::size_t HolderWatch::rankFor(const std::string &holder,
                                 const std::vector<std::string> &watchers) const
{
    const auto own = std::pair(weight(holder, m_self), m_self);
    const auto ahead = std::count_if(watchers.begin(), watchers.end(), [&](const auto &watcher) {
        return std::pair(weight(holder, watcher), watcher) > own;
    });
    return std::min(static_cast<std::size_t>(ahead), maximumRank);
}

} // namespace Lavenderpick
