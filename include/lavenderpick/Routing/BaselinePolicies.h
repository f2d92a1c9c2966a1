#pragma once

#include "lavenderpick/Routing/RoutingPolicy.h"

namespace Lavenderpick {

/// Chooses the usable candidates in turn. A baseline for measurements.
class RoundRobinPolicy final : public RoutingPolicy
{
public:
    explicit RoundRobinPolicy(const CostModel &costModel)
        : m_costModel(costModel)
    { }

    RouteDecision choose(const RouteRequest &request, std::span<const Candidate> candidates,
                         TimePoint now, Random &random) override;

private:
    const CostModel &m_costModel;
    std::size_t m_next { 0 };
};

/// Chooses the usable candidate with the fewest outstanding requests from this entry, as common
/// proxies do. A baseline for measurements.
class LeastOutstandingPolicy final : public RoutingPolicy
{
public:
    LeastOutstandingPolicy(const CostModel &costModel, const LoadView &loadView)
        : m_costModel(costModel)
        , m_loadView(loadView)
    { }

    RouteDecision choose(const RouteRequest &request, std::span<const Candidate> candidates,
                         TimePoint now, Random &random) override;

private:
    const CostModel &m_costModel;
    const LoadView &m_loadView;
};

} // namespace Lavenderpick
