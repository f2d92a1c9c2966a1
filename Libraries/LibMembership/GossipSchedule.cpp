#include "lavenderpick/Membership/GossipSchedule.h"

namespace Lavenderpick {

GossipSchedule::GossipSchedule(std::string entry, Duration interval)
    : m_entry(std::move(entry))
    , m_interval(interval)
{ }

std::optional<Vm> GossipSchedule::nextPeer(const MemberTable &table, TimePoint now, Random &random)
{
    if (now < m_nextGossipAt)
        return std::nullopt;
    const double jitterFactor = 0.8 + 0.4 * random.unit();
    m_nextGossipAt = now + std::chrono::duration_cast<Duration>(m_interval * jitterFactor);

    const std::vector<std::string> &liveEntryVms = table.liveEntryVms();
    std::size_t peerCount = liveEntryVms.size();
    for (const std::string &entryName : liveEntryVms)
        peerCount -= entryName == m_entry ? 1 : 0;
    if (peerCount == 0)
        return std::nullopt;
    std::size_t index = random.below(peerCount);
    for (const std::string &entryName : liveEntryVms) {
        if (entryName == m_entry)
            continue;
        if (index == 0)
            return table.findVm(entryName)->vm;
        --index;
    }
    return std::nullopt;
}

} // namespace Lavenderpick
