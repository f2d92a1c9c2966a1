#include "lavenderpick/Forward/GracefulShutdown.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// Later requests slow the engine that decodes this one.
constexpr int durationFactor = 2;

} // namespace

bool GracefulShutdown::acceptsConnections(TimePoint now, bool peerIsReady) const
{
    return !isDeregistered(now) || (!peerIsReady && now < exitDeadline());
}

bool GracefulShutdown::mayAcceptRequest(TimePoint now, Duration expected, Duration longest) const
{
    const Duration needed = std::max(durationFactor * expected, longest);
    return !isDeregistered(now) || now + needed <= exitDeadline();
}

bool GracefulShutdown::shouldExit(TimePoint now, bool hasOpenRequests) const
{
    return m_began && (now >= exitDeadline() || (isDeregistered(now) && !hasOpenRequests));
}

} // namespace Lavenderpick
