#include "lavenderpick/Forward/StopPlan.h"

namespace Lavenderpick {

namespace {

// Requests that arrive meanwhile slow the engine that writes this one.
constexpr int expectedMargin = 2;

} // namespace

bool StopPlan::acceptsConnections(TimePoint now, bool peerIsReady) const
{
    return !isTakenOut(now) || (!peerIsReady && now < end());
}

bool StopPlan::mayTake(TimePoint now, Duration expected) const
{
    return !isTakenOut(now) || now + expectedMargin * expected <= end();
}

bool StopPlan::isOver(TimePoint now, bool serves) const
{
    return m_began && (now >= end() || (isTakenOut(now) && !serves));
}

} // namespace Lavenderpick
