#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace Lavenderpick {

/// Requests that wait for a placement that makes no request late, ordered by latest start.
/// Not safe for concurrent use.
///
/// When several long prompts arrive within a second, concurrent prefills delay each other and
/// lengthen the gaps of all streams at their engines. One after the other, split over many engines,
/// all can be on time.
class PlacementQueue
{
public:
    /// Adds a request. `latestStart` is when it must be placed to be on time.
    void add(std::uint64_t id, TimePoint latestStart);
    void remove(std::uint64_t id);

    /// Ids of all waiting requests, earliest `latestStart` first.
    std::vector<std::uint64_t> inOrder() const;

    bool isEmpty() const { return m_waiting.empty(); }
    std::size_t size() const { return m_waiting.size(); }

private:
    std::set<std::pair<TimePoint, std::uint64_t>> m_waiting;
};

} // namespace Lavenderpick
