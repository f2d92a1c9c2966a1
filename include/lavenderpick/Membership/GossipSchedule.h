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

    /// The peer to gossip with now, or nothing when it is not yet time or no peer is known. The
    /// interval has a jitter of a fifth, so that entries started together do not stay in step.
    std::optional<Vm> nextPeer(const MemberTable &table, TimePoint now, Random &random);

private:
    std::string m_entry;
    Duration m_interval;
    TimePoint m_nextGossipAt {};
};

} // namespace Lavenderpick
