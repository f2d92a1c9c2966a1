#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace Lavenderpick {

/// Requests that wait for a placement that makes nobody late, the one that is due first in front.
/// Not safe for concurrent use.
///
/// The load that it answers: several long prompts arrive within a second. Read at once they stretch
/// each other and the pauses of all streams at their engines; read one after the other, split over
/// many engines, all can be on time.
class PlacementQueue
{
public:
    /// `latestStart` is when the request must be placed to be on time.
    void add(std::uint64_t id, TimePoint latestStart);
    void remove(std::uint64_t id);

    /// All that wait, in order.
    std::vector<std::uint64_t> inOrder() const;

    bool isEmpty() const { return m_waiting.empty(); }
    std::size_t size() const { return m_waiting.size(); }

private:
    std::set<std::pair<TimePoint, std::uint64_t>> m_waiting;
};

} // namespace Lavenderpick
