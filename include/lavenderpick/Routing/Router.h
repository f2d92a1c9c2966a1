#pragma once

#include "lavenderpick/Routing/RoutingPolicy.h"

#include <array>

namespace Lavenderpick {

struct RouterSettings
{
    Objective objective { Objective::ShortSlowdown };
    std::size_t samples { 4 }; ///< Random candidates compared per tier.
    /// The same for medium and long prompts: they are too rare to cause herding, and a bad choice
    /// costs more.
    std::size_t longPromptSamples { 16 };
    /// Round-trip times by `Candidate::distance`.
    std::array<double, 3> roundTripSeconds { 0.0, 0.002, 0.08 };
    /// A prefix holder's wait may exceed that of the best other candidate by at most this time.
    double affinityMaximumExtraWaitSeconds { 1.0 };
    /// Minimum prefill time that a cached prefix must save. Entries with outdated reports herd on
    /// the few holders of a popular prefix, which costs more than a smaller saving gains.
    double affinityMinimumSavingSeconds { 0.25 };
    double plannableMemoryShare { 0.95 };          ///< Share of KV memory that routing may fill.
    double longPromptPlannableMemoryShare { 0.8 }; ///< The same for medium and long prompts.
    bool useAffinity { true };
    bool usePools { true };
    /// A short prompt goes to an engine of the pool for long prompts only when this saves more than
    /// this time, by which their prefill steps delay it.
    double shortPromptPoolPenaltySeconds { 0.3 };
    /// A medium prompt goes to an engine outside the pool only when this saves more than its own
    /// prefill time multiplied by this factor. A long one does so only when the pool has no usable
    /// engine.
    double longPromptPoolPenaltyFactor { 4 };
    /// Size of the pool for long prompts over the engines that they occupied recently. Well above
    /// 1, so that the pool grows within a minute: at 1.2 a burst of long prompts waited for
    /// minutes.
    double longPromptHeadroom { 2 };
    double maximumLongPromptPoolShare { 0.6 };
    /// With the objective short_slowdown, short prompts get this many times the engines that they
    /// keep busy, and the pool for long prompts at most the rest, but not less than the minimum.
    double shortPromptHeadroom { 2.5 };
    double minimumLongPromptPoolShare { 0.2 };
};

/// Chooses the upstream with the shortest predicted time to first token. Not safe for concurrent
/// use.
///
/// Compares random samples of the candidates, since entries with the same outdated reports would
/// otherwise all choose the same engine. Prefers near engines, holders of a cached prefix, and
/// separate engines (the pool) for medium and long prompts.
class Router final : public RoutingPolicy
{
public:
    Router(const RouterSettings &settings, const CostModel &costModel, const LoadView &loadView,
           const PrefixIndex &prefixIndex);

    RouteDecision choose(const RouteRequest &request, std::span<const Candidate> candidates,
                         TimePoint now, Random &random) override;

    /// Engines for a prompt that needs more KV memory than one engine has: the fewest, nearest
    /// first, that can each hold an equal part, sorted by upstream name. Empty when there are not
    /// enough.
    std::vector<std::string> chooseGroup(const RouteRequest &request,
                                         std::span<const Candidate> candidates, TimePoint now,
                                         std::size_t maximumEngines) const;

    /// Share of the engines in the pool for long prompts, derived from recent demand.
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
    /// Candidates of one distance that are all in the preferred pool, or all in the other one.
    struct CandidateTier
    {
        double penaltySeconds { 0 }; ///< For the distance and for the other pool.
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

/// Mean prefill backlog of the usable candidates over `referenceSeconds`; 1 is as much work as the
/// fleet should hold. Input for `Admission::setPressure` and `CustomerBudgets::adjustLending`.
double fleetPressure(const LoadView &loadView, std::span<const Candidate> candidates,
                     double referenceSeconds, TimePoint now);

/// The same for the backlog that short prompts wait for; at 1 their wait equals the target time to
/// first token. A flood of short prompts shows here long before it shows in the whole backlog.
double shortPromptPressure(const LoadView &loadView, std::span<const Candidate> candidates,
                           TimePoint now);

} // namespace Lavenderpick
