#include "lavenderpick/Routing/Router.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Lavenderpick {

namespace {

bool isEligible(const RouteRequest &request, const Candidate &candidate)
{
    return candidate.usable && candidate.trafficShare > 0
            && std::find(request.tried.begin(), request.tried.end(), candidate.upstream)
            == request.tried.end();
}

// Keeps `count` random elements.
void reduceToRandomSample(std::vector<std::size_t> &indices, std::size_t count, Random &random)
{
    count = std::min(count, indices.size());
    for (std::size_t position = 0; position < count; ++position)
        std::swap(indices[position], indices[position + random.below(indices.size() - position)]);
    indices.resize(count);
}

using FreeEngine = std::pair<std::int64_t, std::string>; // Free KV tokens and upstream.

// The fewest engines that can each hold an equal part, sorted by name.
std::vector<std::string> smallestGroup(std::vector<FreeEngine> &engines, std::int64_t tokens,
                                       std::size_t maximumEngines)
{
    std::sort(engines.begin(), engines.end(), std::greater<> {});
    const std::size_t maximum = std::min(maximumEngines, engines.size());
    std::vector<std::string> group;
    for (std::size_t count = 2; count <= maximum; ++count) {
        const auto engineCount = static_cast<std::int64_t>(count);
        if (engines[count - 1].first < (tokens + engineCount - 1) / engineCount)
            continue;
        for (std::size_t position = 0; position < count; ++position)
            group.push_back(engines[position].second);
        std::sort(group.begin(), group.end());
        return group;
    }
    return group;
}

} // namespace

Router::Router(const RouterSettings &settings, const CostModel &costModel, const LoadView &loadView,
               const PrefixIndex &prefixIndex)
    : m_settings(settings)
    , m_costModel(costModel)
    , m_loadView(loadView)
    , m_prefixIndex(prefixIndex)
{ }

std::optional<Router::ScoredCandidate> Router::score(const RouteRequest &request,
                                                     const Candidate &candidate,
                                                     std::int64_t cachedTokens, TimePoint now) const
{
    const UpstreamLoad load = m_loadView.load(candidate.upstream, now);
    if (!load.accepting)
        return std::nullopt;
    ScoredCandidate scored;
    RouteDecision &decision = scored.decision;
    decision.upstream = candidate.upstream;
    decision.cachedTokens = cachedTokens;
    decision.cost = m_costModel.predict(candidate.upstream, request.model, request.promptTokens,
                                        cachedTokens, request.outputTokens);
    const int lengthClass = promptLengthClass(request.promptTokens - cachedTokens);
    const bool isShort = lengthClass == 0;
    decision.waitSeconds = waitSeconds(decision.cost, load, lengthClass);
    scored.score = decision.waitSeconds + decision.cost.prefillSeconds;
    decision.firstTokenSeconds = scored.score
            + m_settings.roundTripSeconds[static_cast<std::size_t>(candidate.distance)];
    const double plannableMemoryShare =
            isShort ? m_settings.plannableMemoryShare : m_settings.longPromptPlannableMemoryShare;
    const auto kvCapacity = static_cast<double>(load.kvCapacity);
    scored.plannableKvTokens = static_cast<std::int64_t>(plannableMemoryShare * kvCapacity);
    scored.fitsMemory = static_cast<double>(decision.cost.kvTokenCount)
            <= static_cast<double>(load.kvFree) - (1 - plannableMemoryShare) * kvCapacity;
    return scored;
}

double Router::waitSeconds(const PredictedCost &cost, const UpstreamLoad &load,
                           int lengthClass) const
{
    const double longPromptWaitSeconds =
            std::max(0.0, load.totalWaitSeconds - load.shortPromptWaitSeconds);
    double backlog = load.shortPromptWaitSeconds;
    // Reports do not separate medium from long prompts; a medium prompt waits for few medium ones.
    if (lengthClass == 1)
        backlog += std::min(longPromptWaitSeconds, cost.prefillSeconds);
    if (lengthClass == 2)
        backlog += longPromptWaitSeconds;
    return backlog + load.stepSeconds / 2; // A new request joins at the next step.
}

std::optional<Router::ScoredCandidate> Router::bestCandidate(const RouteRequest &request,
                                                             std::span<const Candidate> candidates,
                                                             const Indices &indices,
                                                             TimePoint now) const
{
    std::optional<ScoredCandidate> best;
    std::int64_t largestPlannableKvTokens = 0;
    for (const std::size_t index : indices) {
        std::optional<ScoredCandidate> scored = score(request, candidates[index], 0, now);
        if (!scored)
            continue;
        largestPlannableKvTokens = std::max(largestPlannableKvTokens, scored->plannableKvTokens);
        const auto key = [](const ScoredCandidate &other) {
            return std::pair(!other.fitsMemory, other.score);
        };
        if (!best || key(*scored) < key(*best))
            best = std::move(scored);
    }
    if (best)
        best->plannableKvTokens = largestPlannableKvTokens;
    return best;
}

bool Router::usesPools() const
{
    return m_settings.usePools;
}

double Router::longPromptPoolShare() const
{
    constexpr double minimumOccupancy = 0.002; // No long prompt for several minutes.
    if (m_loadView.longPromptOccupancy() < minimumOccupancy)
        return 0;
    double maximum = m_settings.maximumLongPromptPoolShare;
    if (m_settings.objective == Objective::ShortSlowdown)
        maximum = std::clamp(1 - m_settings.shortPromptHeadroom * m_loadView.shortPromptOccupancy(),
                             m_settings.minimumLongPromptPoolShare, maximum);
    const double demandShare = m_settings.longPromptHeadroom * m_loadView.longPromptOccupancy();
    return std::min(maximum, std::max(m_settings.minimumLongPromptPoolShare, demandShare));
}

std::vector<bool> Router::longPromptPoolMembers(std::span<const Candidate> candidates) const
{
    // All entries order the upstreams by the same hash, so that they agree without communication.
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::string &upstream = candidates[index].upstream;
        order.emplace_back(XXH3_64bits(upstream.data(), upstream.size()), index);
    }
    std::sort(order.begin(), order.end());
    std::vector<bool> preferred(candidates.size(), false);
    const auto count = std::llround(longPromptPoolShare() * static_cast<double>(candidates.size()));
    for (std::size_t position = 0; position < static_cast<std::size_t>(count); ++position)
        preferred[order[position].second] = true;
    return preferred;
}

std::vector<Router::CandidateTier> Router::candidateTiers(const RouteRequest &request,
                                                          std::span<const Candidate> candidates,
                                                          bool isShort, Random &random) const
{
    const bool hasPools = m_settings.usePools && m_settings.objective == Objective::ShortSlowdown;
    const std::vector<bool> inLongPromptPool = hasPools
            ? longPromptPoolMembers(candidates)
            : std::vector<bool>(candidates.size(), !isShort);
    double otherPoolPenaltySeconds = m_settings.shortPromptPoolPenaltySeconds;
    if (!isShort && !candidates.empty())
        otherPoolPenaltySeconds = m_settings.longPromptPoolPenaltyFactor
                * m_costModel
                          .predict(candidates.front().upstream, request.model, request.promptTokens,
                                   0, 0)
                          .prefillSeconds;
    std::vector<CandidateTier> result(6);
    for (std::size_t distance = 0; distance < 3; ++distance) {
        result[2 * distance].penaltySeconds = m_settings.roundTripSeconds[distance];
        result[2 * distance + 1].penaltySeconds =
                m_settings.roundTripSeconds[distance] + otherPoolPenaltySeconds;
        result[2 * distance + 1].otherPool = true;
    }
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        if (!isEligible(request, candidate)
            || (candidate.trafficShare < 1 && random.unit() >= candidate.trafficShare))
            continue;
        const std::size_t otherPool = inLongPromptPool[index] == isShort ? 1 : 0;
        result[2 * static_cast<std::size_t>(candidate.distance) + otherPool].indices.push_back(
                index);
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const CandidateTier &left, const CandidateTier &right) {
                         return left.penaltySeconds < right.penaltySeconds;
                     });
    return result;
}

std::optional<Router::ScoredCandidate>
Router::bestSampledCandidate(const RouteRequest &request, std::span<const Candidate> candidates,
                             TimePoint now, Random &random) const
{
    const int lengthClass = promptLengthClass(request.promptTokens);
    const bool requiresPreferredPool =
            usesPools() && lengthClass == 2 && m_settings.objective == Objective::ShortSlowdown;
    std::optional<ScoredCandidate> best;
    Indices considered;
    for (CandidateTier &tier : candidateTiers(request, candidates, lengthClass == 0, random)) {
        // A long prompt waits for memory in its pool, so that it does not slow down short ones.
        if (requiresPreferredPool && tier.otherPool && !considered.empty())
            continue;
        // A tier with a penalty is worth it only if it saves more waiting than the penalty.
        if (best && best->fitsMemory && best->decision.waitSeconds <= tier.penaltySeconds)
            break;
        considered.insert(considered.end(), tier.indices.begin(), tier.indices.end());
        reduceToRandomSample(tier.indices,
                             lengthClass == 0 ? m_settings.samples : m_settings.longPromptSamples,
                             random);
        std::optional<ScoredCandidate> other =
                bestCandidate(request, candidates, tier.indices, now);
        if (!other)
            continue;
        other->score += tier.penaltySeconds;
        if (!best
            || std::pair(!other->fitsMemory, other->score)
                    < std::pair(!best->fitsMemory, best->score))
            best = std::move(other);
    }
    return best && best->fitsMemory ? best : bestCandidate(request, candidates, considered, now);
}

std::optional<Router::ScoredCandidate>
Router::bestPrefixHolder(const RouteRequest &request, std::span<const Candidate> candidates,
                         TimePoint now) const
{
    std::optional<ScoredCandidate> best;
    const std::vector<bool> inLongPromptPool = longPromptPoolMembers(candidates);
    const bool isShort = request.promptTokens <= maximumShortPromptTokens;
    const bool hasPools = usesPools()
            && std::find(inLongPromptPool.begin(), inLongPromptPool.end(), true)
                    != inLongPromptPool.end();
    for (const PrefixHolder &holder : m_prefixIndex.find(request.prefix, now)) {
        const auto candidate = std::find_if(
                candidates.begin(), candidates.end(),
                [&holder](const Candidate &other) { return other.upstream == holder.upstream; });
        if (candidate == candidates.end() || candidate->trafficShare < 1
            || !isEligible(request, *candidate))
            continue;
        const auto index = static_cast<std::size_t>(candidate - candidates.begin());
        if (hasPools && inLongPromptPool[index] == isShort)
            continue;
        std::optional<ScoredCandidate> scored = score(request, *candidate, holder.tokens, now);
        if (scored)
            scored->score = scored->decision.firstTokenSeconds;
        if (scored && scored->fitsMemory && (!best || scored->score < best->score))
            best = std::move(scored);
    }
    return best;
}

RouteDecision Router::choose(const RouteRequest &request, std::span<const Candidate> candidates,
                             TimePoint now, Random &random)
{
    std::optional<ScoredCandidate> best = bestSampledCandidate(request, candidates, now, random);
    if (!best)
        return {};
    if (!best->fitsMemory) {
        RouteDecision refused;
        refused.refusal = RefusalReason::UpstreamMemory;
        refused.cost = best->decision.cost;
        refused.largestPlannableKvTokens = best->plannableKvTokens;
        return refused;
    }
    if (m_settings.useAffinity && !request.prefix.empty()) {
        std::optional<ScoredCandidate> holder = bestPrefixHolder(request, candidates, now);
        const double maximumWaitSeconds =
                best->decision.waitSeconds + m_settings.affinityMaximumExtraWaitSeconds;
        const double savedSeconds = best->decision.cost.prefillSeconds
                - (holder ? holder->decision.cost.prefillSeconds : 0);
        if (holder && savedSeconds >= m_settings.affinityMinimumSavingSeconds
            && holder->score < best->score && holder->decision.waitSeconds <= maximumWaitSeconds)
            return holder->decision;
    }
    return best->decision;
}

std::vector<std::string> Router::chooseGroup(const RouteRequest &request,
                                             std::span<const Candidate> candidates, TimePoint now,
                                             std::size_t maximumEngines) const
{
    const std::vector<bool> inLongPromptPool = usesPools()
            ? longPromptPoolMembers(candidates)
            : std::vector<bool>(candidates.size(), true);
    std::array<std::vector<FreeEngine>, 3> enginesWithinDistance; // Preferred engines only.
    std::vector<FreeEngine> allEngines;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        const UpstreamLoad load = m_loadView.load(candidate.upstream, now);
        if (!isEligible(request, candidate) || !load.accepting)
            continue;
        const auto freeTokens = static_cast<std::int64_t>(static_cast<double>(load.kvFree)
                                                          * m_settings.plannableMemoryShare);
        allEngines.emplace_back(freeTokens, candidate.upstream);
        for (int distance = candidate.distance; inLongPromptPool[index] && distance < 3; ++distance)
            enginesWithinDistance[static_cast<std::size_t>(distance)].emplace_back(
                    freeTokens, candidate.upstream);
    }
    const std::int64_t requiredTokens = request.promptTokens + request.outputTokens;
    for (std::vector<FreeEngine> &engines : enginesWithinDistance) {
        std::vector<std::string> group = smallestGroup(engines, requiredTokens, maximumEngines);
        if (!group.empty())
            return group;
    }
    // The preferred engines become free in time. Others are used only when those are too few.
    const std::size_t preferredCount = enginesWithinDistance.back().size();
    return preferredCount < maximumEngines
            ? smallestGroup(allEngines, requiredTokens, maximumEngines)
            : std::vector<std::string> {};
}

namespace {

/// Mean of the load's member `wait` over the usable candidates.
double meanWait(const LoadView &loadView, std::span<const Candidate> candidates, TimePoint now,
                double UpstreamLoad::*wait)
{
    double sum = 0;
    int reporting = 0;
    for (const Candidate &candidate : candidates) {
        const UpstreamLoad load = loadView.load(candidate.upstream, now);
        if (!candidate.usable || !load.accepting)
            continue;
        sum += load.*wait;
        ++reporting;
    }
    return reporting == 0 ? 0 : sum / reporting;
}

} // namespace

double fleetPressure(const LoadView &loadView, std::span<const Candidate> candidates,
                     double referenceSeconds, TimePoint now)
{
    return meanWait(loadView, candidates, now, &UpstreamLoad::totalWaitSeconds) / referenceSeconds;
}

double shortPromptPressure(const LoadView &loadView, std::span<const Candidate> candidates,
                           TimePoint now)
{
    constexpr double firstTokenTargetSeconds = 0.35;
    return meanWait(loadView, candidates, now, &UpstreamLoad::shortPromptWaitSeconds)
            / firstTokenTargetSeconds;
}

} // namespace Lavenderpick
