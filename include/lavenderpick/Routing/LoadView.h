#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Protocol/Datagrams.h"
#include "lavenderpick/Routing/CostModel.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace Lavenderpick {

/// Prompts up to this length count as short; chunked prefill delays them by longer ones.
constexpr std::int64_t maximumShortPromptTokens = 16'384;

constexpr std::int64_t maximumMediumPromptTokens = 100'000;

/// Order of service of prefill: 0 for short prompts, 1 for medium and 2 for long ones. A prompt
/// that takes a second must not wait for one that takes half a minute.
constexpr int promptLengthClass(std::int64_t promptTokens)
{
    if (promptTokens <= maximumShortPromptTokens)
        return 0;
    return promptTokens <= maximumMediumPromptTokens ? 1 : 2;
}

/// The predicted load of one upstream at one moment.
struct UpstreamLoad
{
    bool known { false }; ///< A report has arrived.
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

/// Load reports corrected by what this entry sent since. Not safe for concurrent use.
///
/// A report describes the past: work drains and other entries send. The view drains the reported
/// backlog by the time passed and adds its own later sends, which no report shows yet.
class LoadView
{
public:
    explicit LoadView(const CostModel &costModel)
        : m_costModel(costModel)
    { }

    /// Reports of an earlier incarnation or sequence are ignored.
    void observeReport(const LoadReport &report, TimePoint now);

    void recordSent(const std::string &upstream, const std::string &attemptId,
                    const PredictedCost &cost, bool shortPrompt, TimePoint now);

    /// The attempt's prefill is done.
    void recordFirstToken(const std::string &upstream, const std::string &attemptId);

    /// The attempt ended in any way.
    void recordFinished(const std::string &upstream, const std::string &attemptId);

    UpstreamLoad load(const std::string &upstream, TimePoint now) const;

    /// Share of the upstreams that were occupied by long prompts in the last minute. All entries
    /// derive it from the same reports, so that they agree on the engines preferred for long work.
    double longPromptOccupancy() const { return m_longPromptOccupancy; }

    /// Share of the upstreams that were reading short prompts in the last minute.
    double shortPromptOccupancy() const { return m_shortPromptOccupancy; }

    /// Forgets an upstream that is gone.
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
        std::deque<SentAttempt> attempts; ///< Attempts in flight.
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
