#pragma once

#include "lavenderpick/Forward/ServingConfiguration.h"

#include <set>
#include <string>

namespace Lavenderpick {

/// Outcome of a request at one upstream.
enum class AttemptOutcome {
    NotSent,     ///< No byte of the request left this process.
    NotRun,      ///< The upstream proved that it did not run the request.
    Misdirected, ///< Not run, because another process has the address now.
    Failed,      ///< The request may have run.
};

/// The attempts of one request, and whether it may be retried.
///
/// A request that is not idempotent goes to a second upstream only after a proof that the first has
/// not run it. `WindowedRetryBudget` decides whether the retry budget allows a retry.
class AttemptHistory
{
public:
    /// Maximum number of times that a request is sent, also if every upstream refuses it.
    static constexpr int maximumSends = 3;
    /// Each upstream that can't be reached costs a few hundred milliseconds at most.
    static constexpr int maximumConnectFailures = 4;

    void record(const std::string &upstream, AttemptOutcome outcome);

    /// Records that the request was sent and its response is no longer awaited.
    void recordAbandoned() { ++m_possibleRuns; }

    /// Whether the request may go to another upstream after the outcome `last`. `responseBegun`:
    /// the caller already has part of the response.
    bool mayRetry(const Route &route, AttemptOutcome last, bool responseBegun) const;

    /// Whether the request could be retried if the open attempt failed.
    bool mayRetryOpenAttempt(const Route &route, bool responseBegun) const;

    /// Whether no upstream can have run the request, so that a refusal may say so.
    bool hasNotRun() const { return m_possibleRuns == 0; }

    int sends() const { return m_sends; }
    int attempts() const { return m_sends + m_connectFailures; }

    /// Upstreams at which an attempt failed, whether or not the request was sent or run.
    const std::set<std::string> &failedUpstreams() const { return m_failedUpstreams; }

private:
    std::set<std::string> m_failedUpstreams;
    int m_sends { 0 };        ///< Times that the request left this process.
    int m_possibleRuns { 0 }; ///< Sends without a proof that the request did not run.
    int m_connectFailures { 0 };
};

} // namespace Lavenderpick
