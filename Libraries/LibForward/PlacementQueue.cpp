#include "lavenderpick/Forward/PlacementQueue.h"

namespace Lavenderpick {

void PlacementQueue::add(std::uint64_t id, TimePoint latestStart)
{
    m_waiting.emplace(latestStart, id);
}

void PlacementQueue::remove(std::uint64_t id)
{
    std::erase_if(m_waiting, [id](const auto &entry) { return entry.second == id; });
}

std::vector<std::uint64_t> PlacementQueue::inOrder() const
{
    std::vector<std::uint64_t> ids;
    ids.reserve(m_waiting.size());
    for (const auto &[latestStart, id] : m_waiting)
        ids.push_back(id);
    return ids;
}

} // namespace Lavenderpick
