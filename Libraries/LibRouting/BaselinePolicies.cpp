#include "lavenderpick/Routing/BaselinePolicies.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

bool isUsable(const RouteRequest &request, const Candidate &candidate)
{
    return candidate.usable
            && std::find(request.tried.begin(), request.tried.end(), candidate.upstream)
            == request.tried.end();
}

RouteDecision makeDecision(const RouteRequest &request, const Candidate &candidate,
                           const CostModel &costModel)
{
    RouteDecision decision { .upstream = candidate.upstream };
    decision.cost = costModel.predict(candidate.upstream, request.model, request.promptTokens, 0,
                                      request.outputTokens);
    decision.firstTokenSeconds = decision.cost.prefillSeconds;
    return decision;
}

} // namespace

RouteDecision RoundRobinPolicy::choose(const RouteRequest &request,
                                       std::span<const Candidate> candidates, TimePoint, Random &)
{
    for (std::size_t visited = 0; visited < candidates.size(); ++visited) {
        const Candidate &candidate = candidates[m_next++ % candidates.size()];
        if (isUsable(request, candidate))
            return makeDecision(request, candidate, m_costModel);
    }
    return {};
}

RouteDecision LeastOutstandingPolicy::choose(const RouteRequest &request,
                                             std::span<const Candidate> candidates, TimePoint now,
                                             Random &random)
{
    const Candidate *best = nullptr;
    std::int64_t fewestRequests = 0;
    // A random start distributes the work over candidates with equally few requests.
    const std::size_t start = random.below(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[(start + index) % candidates.size()];
        if (!isUsable(request, candidate))
            continue;
        const std::int64_t requests = m_loadView.load(candidate.upstream, now).ownRequests;
        if (best && requests >= fewestRequests)
            continue;
        best = &candidate;
        fewestRequests = requests;
    }
    return best ? makeDecision(request, *best, m_costModel) : RouteDecision {};
}

} // namespace Lavenderpick
