#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Protocol/Datagrams.h"
#include "lavenderpick/Routing/CostModel.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace Lavenderpick {

/// Prompts up to this length count as short; the chunked prefill of longer ones delays them.
constexpr std::int64_t maximumShortPromptTokens = 16'384;

constexpr std::int64_t maximumMediumPromptTokens = 100'000;

/// Prefill order of a prompt: 0 when short, 1 when medium, 2 when long. A prompt that takes a
/// second must not wait for one that takes half a minute.
constexpr int promptLengthClass(std::int64_t promptTokens)
{
    if (promptTokens <= maximumShortPromptTokens)
        return 0;
    return promptTokens <= maximumMediumPromptTokens ? 1 : 2;
}

/// Predicted load of one upstream at one point in time. KV memory is in tokens.
struct UpstreamLoad
{
    bool known { false }; ///< Whether a report has been received.
    bool accepting { true };
    std::int64_t kvFree { 0 };
    std::int64_t kvCapacity { 0 };
    double shortPromptWaitSeconds { 0 }; ///< Prefill work that a short prompt waits for.
    double totalWaitSeconds { 0 };       ///< All prefill work.
    std::int64_t requests { 0 };         ///< Running and waiting.
    std::int64_t ownRequests { 0 };      ///< Requests of this entry in flight.
    double stepSeconds { 0 };

    bool operator==(const UpstreamLoad &) const = default;
};

/// Load reports, corrected by the attempts that this entry sent since. Not safe for concurrent use.
///
/// A report is out of date on arrival: engines have drained part of their backlog, and entries
/// have sent more work. The view subtracts the elapsed time from the reported backlog and adds this
/// entry's later attempts, which the report does not include.
class LoadView
{
public:
    explicit LoadView(const CostModel &costModel)
        : m_costModel(costModel)
    { }

    /// Ignores a report whose incarnation and sequence are not later than those of the last one.
    void observeReport(const LoadReport &report, TimePoint now);

    void recordSent(const std::string &upstream, const std::string &attemptId,
                    const PredictedCost &cost, bool shortPrompt, TimePoint now);

    /// The attempt's prefill has finished.
    void recordFirstToken(const std::string &upstream, const std::string &attemptId);

    /// The attempt has ended, with or without success.
    void recordFinished(const std::string &upstream, const std::string &attemptId);

    UpstreamLoad load(const std::string &upstream, TimePoint now) const;

    /// Share of the upstreams occupied by long prompts, averaged over about the last minute. All
    /// entries derive it from the same reports, so that they agree on the engines preferred for
    /// long prompts.
    double longPromptOccupancy() const { return m_longPromptOccupancy; }

    /// Share of the upstreams with a backlog of short prompts, averaged over about the last minute.
    double shortPromptOccupancy() const { return m_shortPromptOccupancy; }

    /// Removes an upstream that is gone.
    void forget(const std::string &upstream);

private:
    struct SentAttempt
    {
        std::string attemptId;
        PredictedCost cost;
        TimePoint sentAt;
        bool shortPrompt { false };
        bool prefilled { false };
    };
    struct UpstreamState
    {
        LoadReport report;
        bool hasReport { false };
        TimePoint measuredAt {};
        double shortPromptBacklogSeconds { 0 };
        double totalBacklogSeconds { 0 };
        std::deque<SentAttempt> attempts; ///< In flight, in the order of sending.
    };

    static std::deque<SentAttempt>::iterator findAttempt(UpstreamState &state,
                                                         const std::string &attemptId);

    void recordOccupancy(const LoadReport &report, std::int64_t shortBacklog);

    const CostModel &m_costModel;
    double m_longPromptOccupancy { 0 };
    double m_shortPromptOccupancy { 0 };
    std::unordered_map<std::string, UpstreamState> m_upstreams;
};

} // namespace Lavenderpick
