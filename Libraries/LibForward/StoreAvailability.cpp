#include "lavenderpick/Forward/StoreAvailability.h"

#include <algorithm>

namespace Lavenderpick {

Duration StoreAvailability::pauseBefore(TimePoint now) const
{
    if (!m_checkedAt || now - *m_checkedAt < longestCheckDelay)
        return {};
    return now - *m_checkedAt;
}

Duration StoreAvailability::silenceUntil(TimePoint at) const
{
    return at - *m_respondedAt - m_pausedSinceResponse - pauseBefore(at);
}

void StoreAvailability::recordCheck(TimePoint now)
{
    const Duration pause = pauseBefore(now);
    m_pausedSinceResponse += pause;
    if (pause > Duration {})
        m_pauseEndedAt = now;
    m_checkedAt = now;
}

void StoreAvailability::recordResponse(TimePoint at)
{
    if (m_respondedAt && at <= *m_respondedAt)
        return;
    // A process that has just started may have listed upstreams by a peer before its first
    // response.
    const bool wasAway = m_respondedAt ? silenceUntil(at) >= longestHarmlessGap() : m_failed;
    if (wasAway) {
        m_gracePeriodEnd = at + recoveryGracePeriod;
        m_gracePeriodLimit = m_gracePeriodEnd + recoveryGracePeriod;
    } else if (m_failed && *m_respondedAt < m_gracePeriodEnd) {
        // Upstreams couldn't register in that time either. Short failures that go on without end
        // must not keep removed upstreams, though.
        m_gracePeriodEnd = std::min(m_gracePeriodEnd + (at - *m_respondedAt), m_gracePeriodLimit);
    }
    // A response from before the last pause says nothing about the pause.
    if (at >= m_pauseEndedAt)
        m_pausedSinceResponse = {};
    m_respondedAt = at;
    m_failed = false;
}

bool StoreAvailability::mayHaveExpired(TimePoint now) const
{
    if (now < m_gracePeriodEnd)
        return true;
    return m_respondedAt ? silenceUntil(now) >= longestHarmlessGap() : m_failed;
}

} // namespace Lavenderpick
