#pragma once

#include "lavenderpick/Routing/RoutingPolicy.h"

#include <array>

namespace Lavenderpick {

struct RouterSettings
{
    Objective objective { Objective::ShortSlowdown };
    std::size_t samples { 4 }; ///< Candidates compared per distance.
    /// For prompts that are not short: they are too rare to herd, and a wrong choice costs more.
    std::size_t longPromptSamples { 16 };
    /// Round trips to the same zone, the same region and far regions.
    std::array<double, 3> roundTripSeconds { 0.0, 0.002, 0.08 };
    /// A prefix holder may be busier than the best other candidate by at most this time.
    double affinityMaximumExtraWaitSeconds { 1.0 };
    /// Prefill time that a cached prefix must save. Entries with old reports herd on the few
    /// holders of a popular prefix; for less, that costs more than it saves.
    double affinityMinimumSavingSeconds { 0.25 };
    double plannableMemoryShare { 0.95 }; ///< Of the KV memory that may be planned for.
    double longPromptPlannableMemoryShare {
        0.8
    }; ///< Of the KV memory, that long prompts may plan for.
    bool useAffinity { true };
    bool usePools { true };
    /// A short prompt goes to an engine that is preferred for
    /// long ones when this saves more than the time that their prefill steps cost it.
    double shortPromptPoolPenaltySeconds { 0.3 };
    /// A long prompt goes to an engine preferred for short ones when this saves more than its own
    /// prefill time multiplied by this factor.
    double longPromptPoolPenaltyFactor { 4 };
    /// Engines preferred for long prompts over those that they occupied lately. Well above 1, so
    /// that the share grows within a minute: at 1.2 a burst of long prompts waited for minutes.
    double longPromptHeadroom { 2 };
    double maximumLongPromptPoolShare { 0.6 };
    /// With the objective short_slowdown, short prompts get this many times the engines that they
    /// keep busy, and long prompts at most the rest, but not less than the minimum.
    double shortPromptHeadroom { 2.5 };
    double minimumLongPromptPoolShare { 0.2 };
};

/// The policy of section 6 of the design page. Not safe for concurrent use.
class Router final : public RoutingPolicy
{
public:
    Router(const RouterSettings &settings, const CostModel &costModel, const LoadView &loadView,
           const PrefixIndex &prefixIndex);

    RouteDecision choose(const RouteRequest &request, std::span<const Candidate> candidates,
                         TimePoint now, Random &random) override;

    /// Engines for a prompt that needs more memory than one has (P1): the fewest, nearest first,
    /// that can each take an equal part, in ascending upstream name. Empty when there are not
    /// enough.
    std::vector<std::string> chooseGroup(const RouteRequest &request,
                                         std::span<const Candidate> candidates, TimePoint now,
                                         std::size_t maximumEngines) const;

    /// Share of the engines that long prompts prefer, as it follows from recent demand.
    double longPromptPoolShare() const;

    void setObjective(Objective objective) { m_settings.objective = objective; }

private:
    struct ScoredCandidate
    {
        RouteDecision decision;
        double score { 0 };
        bool fitsMemory { false };
        std::int64_t plannableKvTokens { 0 };
    };
    using Indices = std::vector<std::size_t>;
    /// Candidates of one distance that are preferred for the request's length, or not.
    struct CandidateTier
    {
        double penaltySeconds { 0 }; ///< Cost of distance and of crossing.
        bool otherPool { false };
        Indices indices;
    };

    std::optional<ScoredCandidate> score(const RouteRequest &request, const Candidate &candidate,
                                         std::int64_t cachedTokens, TimePoint now) const;
    double waitSeconds(const PredictedCost &cost, const UpstreamLoad &load, int lengthClass) const;
    std::optional<ScoredCandidate> bestCandidate(const RouteRequest &request,
                                                 std::span<const Candidate> candidates,
                                                 const Indices &indices, TimePoint now) const;
    std::vector<CandidateTier> candidateTiers(const RouteRequest &request,
                                              std::span<const Candidate> candidates, bool isShort,
                                              Random &random) const;
    bool usesPools() const;
    std::vector<bool> longPromptPoolMembers(std::span<const Candidate> candidates) const;
    std::optional<ScoredCandidate> bestSampledCandidate(const RouteRequest &request,
                                                        std::span<const Candidate> candidates,
                                                        TimePoint now, Random &random) const;
    std::optional<ScoredCandidate> bestPrefixHolder(const RouteRequest &request,
                                                    std::span<const Candidate> candidates,
                                                    TimePoint now) const;

    RouterSettings m_settings;
    const CostModel &m_costModel;
    const LoadView &m_loadView;
    const PrefixIndex &m_prefixIndex;
};

/// Mean prefill backlog of the usable candidates over `referenceSeconds`: 1 is as much work as the
/// fleet should hold. Pass it to `Admission::setPressure` and `CustomerBudgets::adjustLending`.
double fleetPressure(const LoadView &loadView, std::span<const Candidate> candidates,
                     double referenceSeconds, TimePoint now);

/// The same for the work that short prompts wait for: 1 is as much as keeps their first token at
/// its aim. A flood of short prompts shows here long before it shows in the whole backlog.
double shortPromptPressure(const LoadView &loadView, std::span<const Candidate> candidates,
                           TimePoint now);

} // namespace Lavenderpick
