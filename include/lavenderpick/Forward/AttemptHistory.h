#pragma once

#include "lavenderpick/Forward/ServingConfiguration.h"

#include <set>
#include <string>

namespace Lavenderpick {

/// What became of a request at one upstream.
enum class AttemptOutcome {
    NotSent,     ///< No byte of it left this process.
    NotRun,      ///< The upstream proved that it did not run.
    Misdirected, ///< Not run, because another process has the address now.
    Failed,      ///< It may have run.
};

/// What was tried for one request, and whether it may be tried again.
///
/// A request that may not be repeated goes to a second upstream only after a proof that the first
/// has not run it. Whether the retry budget allows a repeat is `WindowedRetryBudget`'s to say.
class AttemptHistory
{
public:
    /// A request leaves this process at most this often, also where every upstream refuses it.
    static constexpr int maximumSends = 3;
    /// An upstream that can't be reached costs some hundred milliseconds at most.
    static constexpr int maximumConnectFailures = 4;

    void record(const std::string &upstream, AttemptOutcome outcome);

    /// It was sent and no answer is awaited any more.
    void recordAbandoned() { ++m_possibleRuns; }

    /// Whether the request may go to another upstream, given the last outcome. `responseBegun`: the
    /// caller has a part of the response.
    bool mayRetry(const Route &route, AttemptOutcome last, bool responseBegun) const;

    /// Whether it could be repeated if the attempt that is open now failed.
    bool mayRetryOpenAttempt(const Route &route, bool responseBegun) const;

    /// No upstream may have run it: a refusal that says so is true.
    bool hasNotRun() const { return m_possibleRuns == 0; }

    int sends() const { return m_sends; }
    int attempts() const { return m_sends + m_connectFailures; }

    /// Upstreams that failed the request.
    const std::set<std::string> &failedUpstreams() const { return m_failedUpstreams; }

private:
    std::set<std::string> m_failedUpstreams;
    int m_sends { 0 };        ///< Times that the request left this process.
    int m_possibleRuns { 0 }; ///< Sends that are not proved "not run".
    int m_connectFailures { 0 };
};

} // namespace Lavenderpick
