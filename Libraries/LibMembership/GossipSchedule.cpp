#include "lavenderpick/Membership/GossipSchedule.h"

namespace Lavenderpick {

GossipSchedule::GossipSchedule(std::string entry, Duration interval)
    : m_entry(std::move(entry))
    , m_interval(interval)
{ }

std::optional<Vm> GossipSchedule::nextPeer(const MemberTable &table, TimePoint now, Random &random)
{
    if (now < m_next)
        return std::nullopt;
    const double factor = 0.8 + 0.4 * random.unit();
    m_next = now + std::chrono::duration_cast<Duration>(m_interval * factor);

    const std::vector<std::string> &entries = table.entries();
    std::size_t peers = entries.size();
    for (const std::string &name : entries)
        peers -= name == m_entry ? 1 : 0;
    if (peers == 0)
        return std::nullopt;
    std::size_t choice = random.below(peers);
    for (const std::string &name : entries) {
        if (name == m_entry)
            continue;
        if (choice == 0)
            return table.findVm(name)->vm;
        --choice;
    }
    return std::nullopt;
}

} // namespace Lavenderpick
