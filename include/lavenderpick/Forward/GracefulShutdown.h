#pragma once

#include "lavenderpick/Base/Clock.h"

#include <optional>

namespace Lavenderpick {

/// What a gateway that was told to stop still takes. Not safe for concurrent use.
///
/// The load that it answers: a rolling restart whose stops overlap, because streams that run for
/// seconds end first. Callers then have no other gateway, so the stopping one goes on taking what
/// it can finish, until a peer is ready.
class GracefulShutdown
{
public:
    /// The balancer asks once a second and takes a VM out after two misses.
    static constexpr Duration deregistrationDelay { Milliseconds(2'500) };
    /// Kept from the grace of a stop for the process's own end.
    static constexpr Duration exitReserve { Milliseconds(400) };

    explicit GracefulShutdown(Duration gracePeriod)
        : m_gracePeriod(gracePeriod)
    { }

    /// The time between the order to stop and the kill.
    void setGracePeriod(Duration gracePeriod) { m_gracePeriod = gracePeriod; }

    void begin(TimePoint now) { m_began = now; }
    Duration elapsed(TimePoint now) const { return m_began ? now - *m_began : Duration {}; }
    bool isStopping() const { return m_began.has_value(); }

    /// Whether new connections are accepted; `peerIsReady`: another gateway takes callers.
    bool acceptsConnections(TimePoint now, bool peerIsReady) const;

    /// Whether a request that takes about `expected` may begin.
    bool mayAcceptRequest(TimePoint now, Duration expected) const;

    /// Whether the process ends now. `serves`: a request is open.
    bool shouldExit(TimePoint now, bool hasOpenRequests) const;

private:
    /// The balancer has had the time to take this VM out.
    bool isDeregistered(TimePoint now) const
    {
        return m_began && now - *m_began >= deregistrationDelay;
    }
    TimePoint exitDeadline() const { return *m_began + m_gracePeriod - exitReserve; }

    Duration m_gracePeriod;
    std::optional<TimePoint> m_began;
};

} // namespace Lavenderpick
