#pragma once

#include "lavenderpick/Base/Clock.h"

#include <optional>

namespace Lavenderpick {

/// What a gateway that was told to stop still takes. Not safe for concurrent use.
///
/// The load that it answers: a rolling restart whose stops overlap, because streams that run for
/// seconds end first. Callers then have no other gateway, so the stopping one goes on taking what
/// it can finish, until a peer is ready.
class StopPlan
{
public:
    /// The balancer asks once a second and takes a VM out after two misses.
    static constexpr Duration balancerDelay { Milliseconds(2'500) };
    /// Kept from the grace of a stop for the process's own end.
    static constexpr Duration reserve { Milliseconds(400) };

    explicit StopPlan(Duration grace)
        : m_grace(grace)
    { }

    /// The time between the order to stop and the kill.
    void setGrace(Duration grace) { m_grace = grace; }

    void begin(TimePoint now) { m_began = now; }
    Duration sinceBegin(TimePoint now) const { return m_began ? now - *m_began : Duration {}; }
    bool isStopping() const { return m_began.has_value(); }

    /// Whether new connections are accepted; `peerIsReady`: another gateway takes callers.
    bool acceptsConnections(TimePoint now, bool peerIsReady) const;

    /// Whether a request that takes about `expected` may begin.
    bool mayTake(TimePoint now, Duration expected) const;

    /// Whether the process ends now. `serves`: a request is open.
    bool isOver(TimePoint now, bool serves) const;

private:
    /// The balancer has had the time to take this VM out.
    bool isTakenOut(TimePoint now) const { return m_began && now - *m_began >= balancerDelay; }
    TimePoint end() const { return *m_began + m_grace - reserve; }

    Duration m_grace;
    std::optional<TimePoint> m_began;
};

} // namespace Lavenderpick
