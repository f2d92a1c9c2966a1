#pragma once

#include "lavenderpick/Base/Clock.h"

#include <optional>

namespace Lavenderpick {

/// Decides what a gateway still accepts after the order to stop. Not safe for concurrent use.
///
/// In a rolling restart the shutdowns of gateways overlap, because streams that run for seconds
/// must finish first. Callers may then have no other gateway, so a stopping one keeps accepting
/// requests that it can finish in time until a peer is ready.
class GracefulShutdown
{
public:
    /// The load balancer probes once a second and removes a VM after two failed probes.
    static constexpr Duration deregistrationDelay { Milliseconds(2'500) };
    /// Part of the grace period that is kept for the exit of the process itself.
    static constexpr Duration exitReserve { Milliseconds(400) };

    explicit GracefulShutdown(Duration gracePeriod)
        : m_gracePeriod(gracePeriod)
    { }

    /// Time between the order to stop and the kill.
    void setGracePeriod(Duration gracePeriod) { m_gracePeriod = gracePeriod; }

    void begin(TimePoint now) { m_began = now; }
    Duration elapsed(TimePoint now) const { return m_began ? now - *m_began : Duration {}; }
    bool isStopping() const { return m_began.has_value(); }

    /// Whether new connections are accepted. `peerIsReady`: another gateway accepts callers.
    bool acceptsConnections(TimePoint now, bool peerIsReady) const;

    /// Whether to accept a request with an expected duration of `expected`, where similar ones have
    /// taken up to `longest` recently.
    bool mayAcceptRequest(TimePoint now, Duration expected, Duration longest = {}) const;

    /// Whether the process should exit now.
    bool shouldExit(TimePoint now, bool hasOpenRequests) const;

private:
    /// Whether the load balancer has had time to remove this VM.
    bool isDeregistered(TimePoint now) const
    {
        return m_began && now - *m_began >= deregistrationDelay;
    }
    TimePoint exitDeadline() const { return *m_began + m_gracePeriod - exitReserve; }

    Duration m_gracePeriod;
    std::optional<TimePoint> m_began;
};

} // namespace Lavenderpick
