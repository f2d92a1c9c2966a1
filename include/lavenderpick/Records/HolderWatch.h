#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Platform/Table.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderpick {

constexpr Seconds holderWatchInterval { 20 };

/// Detects expired holders from the versions of their leases, on this process's own clock (J5).
/// Performs no I/O and is not safe for concurrent use.
class HolderWatch
{
public:
    explicit HolderWatch(std::string self);

    /// Takes a listing of the table `holder`. `startedAt` and `finishedAt` are the times before and
    /// after the read: what was read is not older than the one and not newer than the other.
    void observe(const std::vector<Row> &holders, TimePoint startedAt, TimePoint finishedAt);

    /// Expired holders, as of the last observation, that this watcher is to take over. `watchers`
    /// are the live entries as this process knows them. The first by rendezvous hashing acts at
    /// once, and each following one `holderWatchInterval` later, in case those before it are gone.
    /// Views of the list may differ: two watchers at once are safe, since each take-over is a
    /// conditional write.
    std::vector<Row> due(const std::vector<std::string> &watchers) const;

private:
    struct Sighting
    {
        Row row;
        TimePoint firstSeen;
        Duration unchanged;
    };

    std::size_t rankFor(const std::string &holder, const std::vector<std::string> &watchers) const;

    std::string m_self;
    std::map<std::string, Sighting> m_sightings;
    std::optional<TimePoint> m_lastObserved {};
};

} // namespace Lavenderpick
