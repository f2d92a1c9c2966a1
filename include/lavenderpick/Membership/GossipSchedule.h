#pragma once

#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Membership/MemberTable.h"

#include <optional>

namespace Lavenderpick {

/// Decides when and with which peer an entry gossips. Not safe for concurrent use.
class GossipSchedule
{
public:
    explicit GossipSchedule(std::string entry, Duration interval = Seconds(1));

    /// Returns the peer to gossip with now, or nothing when the interval has not elapsed or no peer
    /// is known. The interval has a jitter of 20 percent, so that entries started at the same time
    /// don't keep gossiping at the same time.
    std::optional<Vm> nextPeer(const MemberTable &table, TimePoint now, Random &random);

private:
    std::string m_entry;
    Duration m_interval;
    TimePoint m_nextGossipAt {};
};

} // namespace Lavenderpick
