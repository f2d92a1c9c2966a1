#pragma once

#include "lavenderpick/Routing/RoutingPolicy.h"

#include <array>

namespace Lavenderpick {

struct RouterSettings
{
    Objective objective { Objective::ShortSlowdown };
    std::size_t samples { 4 }; ///< Candidates compared per distance.
    /// Round trips to the same zone, the same region and far regions.
    std::array<double, 3> distanceSeconds { 0.0, 0.002, 0.08 };
    /// A prefix holder may be busier than the best other candidate by at most this time.
    double affinityLimitSeconds { 1.0 };
    double memoryShare { 0.95 }; ///< Of the KV memory that may be planned for.
    bool useAffinity { true };
};

/// The policy of section 6 of the design page. Not safe for concurrent use.
class Router final : public RoutingPolicy
{
public:
    Router(const RouterSettings &settings, const CostModel &costModel, const LoadView &loadView,
           const PrefixIndex &prefixIndex);

    RouteDecision choose(const RouteRequest &request, std::span<const Candidate> candidates,
                         TimePoint now, Random &random) override;

    /// Engines for a prompt that needs more memory than one has (P1): the fewest of one distance
    /// whose free memory holds it, in ascending upstream name. Empty when there are not enough.
    std::vector<std::string> chooseGroup(const RouteRequest &request,
                                         std::span<const Candidate> candidates, TimePoint now,
                                         std::size_t maximumEngines) const;

    void setObjective(Objective objective) { m_settings.objective = objective; }

private:
    struct Scored
    {
        RouteDecision decision;
        double score { 0 };
        bool fits { false };
        std::int64_t capacity { 0 };
    };
    using Indices = std::vector<std::size_t>;

    std::optional<Scored> score(const RouteRequest &request, const Candidate &candidate,
                                std::int64_t cachedTokens, TimePoint now) const;
    std::optional<Scored> bestOf(const RouteRequest &request, std::span<const Candidate> candidates,
                                 const Indices &indices, TimePoint now) const;
    std::optional<Scored> bestSampled(const RouteRequest &request,
                                      std::span<const Candidate> candidates, TimePoint now,
                                      Random &random) const;
    std::optional<Scored> bestHolder(const RouteRequest &request,
                                     std::span<const Candidate> candidates, TimePoint now) const;

    RouterSettings m_settings;
    const CostModel &m_costModel;
    const LoadView &m_loadView;
    const PrefixIndex &m_prefixIndex;
};

/// Mean prefill backlog of the usable candidates over `referenceSeconds`: 1 is as much work as the
/// fleet should hold. Pass it to `Admission::setPressure` and `CustomerBudgets::adjustLending`.
double fleetPressure(const LoadView &loadView, std::span<const Candidate> candidates,
                     double referenceSeconds, TimePoint now);

} // namespace Lavenderpick
