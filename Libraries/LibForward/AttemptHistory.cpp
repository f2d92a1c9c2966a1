#include "lavenderpick/Forward/AttemptHistory.h"

namespace Lavenderpick {

void AttemptHistory::record(const std::string &upstream, AttemptOutcome outcome)
{
    m_failedUpstreams.insert(upstream);
    if (outcome == AttemptOutcome::NotSent)
        ++m_connectFailures;
    else
        ++m_sends;
    if (outcome == AttemptOutcome::Failed)
        ++m_possibleRuns;
}

bool AttemptHistory::mayRetry(const Route &route, AttemptOutcome last, bool responseBegun) const
{
    if (m_connectFailures >= maximumConnectFailures || m_sends >= maximumSends)
        return false;
    // Only a stream can resume after what the caller already has; any other response would restart.
    if (responseBegun && route.kind != RouteKind::Streaming)
        return false;
    if (last != AttemptOutcome::Failed)
        return m_possibleRuns == 0 || route.isIdempotent();
    return route.isIdempotent() && m_possibleRuns < route.maximumUpstreams;
}

bool AttemptHistory::mayRetryOpenAttempt(const Route &route, bool responseBegun) const
{
    return m_possibleRuns + 1 < route.maximumUpstreams
            && mayRetry(route, AttemptOutcome::Failed, responseBegun);
}

} // namespace Lavenderpick
