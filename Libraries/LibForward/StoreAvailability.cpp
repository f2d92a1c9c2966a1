#include "lavenderpick/Forward/StoreAvailability.h"

#include <algorithm>

namespace Lavenderpick {

void StoreAvailability::recordResponse(TimePoint at)
{
    if (m_respondedAt && at <= *m_respondedAt)
        return;
    // A process that has just started may have listed upstreams by a peer before its first
    // response.
    const bool wasAway = m_respondedAt ? at - *m_respondedAt >= longestHarmlessGap() : m_failed;
    if (wasAway) {
        m_gracePeriodEnd = at + recoveryGracePeriod;
        m_gracePeriodLimit = m_gracePeriodEnd + recoveryGracePeriod;
    } else if (m_failed && *m_respondedAt < m_gracePeriodEnd) {
        // Upstreams couldn't register in that time either. Short failures that go on without end
        // must not keep removed upstreams, though.
        m_gracePeriodEnd = std::min(m_gracePeriodEnd + (at - *m_respondedAt), m_gracePeriodLimit);
    }
    m_respondedAt = at;
    m_failed = false;
}

bool StoreAvailability::mayHaveExpired(TimePoint now) const
{
    if (now < m_gracePeriodEnd)
        return true;
    return m_respondedAt ? now - *m_respondedAt >= longestHarmlessGap() : m_failed;
}

} // namespace Lavenderpick
