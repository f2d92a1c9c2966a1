#include "lavenderpick/Routing/Router.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Lavenderpick {

namespace {

bool mayUse(const RouteRequest &request, const Candidate &candidate)
{
    return candidate.usable && candidate.share > 0
            && std::find(request.tried.begin(), request.tried.end(), candidate.upstream)
            == request.tried.end();
}

// Moves `count` random elements to the front.
void sampleFront(std::vector<std::size_t> &indices, std::size_t count, Random &random)
{
    count = std::min(count, indices.size());
    for (std::size_t place = 0; place < count; ++place)
        std::swap(indices[place], indices[place + random.below(indices.size() - place)]);
    indices.resize(count);
}

using FreeEngine = std::pair<std::int64_t, std::string>; // Free KV tokens and upstream.

// The fewest engines that can each take an equal part, in ascending name.
std::vector<std::string> smallestGroup(std::vector<FreeEngine> &engines, std::int64_t tokens,
                                       std::size_t maximumEngines)
{
    std::sort(engines.begin(), engines.end(), std::greater<> {});
    const std::size_t most = std::min(maximumEngines, engines.size());
    std::vector<std::string> group;
    for (std::size_t count = 2; count <= most; ++count) {
        const auto parts = static_cast<std::int64_t>(count);
        if (engines[count - 1].first < (tokens + parts - 1) / parts)
            continue;
        for (std::size_t place = 0; place < count; ++place)
            group.push_back(engines[place].second);
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

std::optional<Router::Scored> Router::score(const RouteRequest &request, const Candidate &candidate,
                                            std::int64_t cachedTokens, TimePoint now) const
{
    const UpstreamLoad load = m_loadView.load(candidate.upstream, now);
    if (!load.accepting)
        return std::nullopt;
    Scored scored;
    RouteDecision &decision = scored.decision;
    decision.upstream = candidate.upstream;
    decision.cachedTokens = cachedTokens;
    decision.cost = m_costModel.predict(candidate.upstream, request.model, request.promptTokens,
                                        cachedTokens, request.outputTokens);
    const int rank = lengthRank(request.promptTokens - cachedTokens);
    const bool isShort = rank == 0;
    decision.waitSeconds = waitSeconds(decision.cost, load, rank);
    scored.score = decision.waitSeconds + decision.cost.prefillSeconds;
    decision.firstTokenSeconds =
            scored.score + m_settings.distanceSeconds[static_cast<std::size_t>(candidate.distance)];
    const double memoryShare = isShort ? m_settings.memoryShare : m_settings.longMemoryShare;
    const auto capacity = static_cast<double>(load.kvCapacity);
    scored.capacity = static_cast<std::int64_t>(memoryShare * capacity);
    scored.fits = static_cast<double>(decision.cost.kvTokenCount)
            <= static_cast<double>(load.kvFree) - (1 - memoryShare) * capacity;
    return scored;
}

double Router::waitSeconds(const PredictedCost &cost, const UpstreamLoad &load, int rank) const
{
    const double longSeconds = std::max(0.0, load.totalWaitSeconds - load.shortWaitSeconds);
    double backlog = load.shortWaitSeconds;
    // Reports do not tell medium from long work; a medium prompt waits for few of its own kind.
    if (rank == 1)
        backlog += std::min(longSeconds, cost.prefillSeconds);
    if (rank == 2)
        backlog += longSeconds;
    return backlog + load.stepSeconds / 2; // New work joins at the next step.
}

std::optional<Router::Scored> Router::bestOf(const RouteRequest &request,
                                             std::span<const Candidate> candidates,
                                             const Indices &indices, TimePoint now) const
{
    std::optional<Scored> best;
    std::int64_t capacity = 0;
    for (const std::size_t index : indices) {
        std::optional<Scored> scored = score(request, candidates[index], 0, now);
        if (!scored)
            continue;
        capacity = std::max(capacity, scored->capacity);
        const auto key = [](const Scored &other) { return std::pair(!other.fits, other.score); };
        if (!best || key(*scored) < key(*best))
            best = std::move(scored);
    }
    if (best)
        best->capacity = capacity;
    return best;
}

bool Router::usesPools() const
{
    return m_settings.usePools;
}

double Router::longShare() const
{
    constexpr double leastOccupancy = 0.002; // No long prompt for several minutes.
    if (m_loadView.longOccupancy() < leastOccupancy)
        return 0;
    double most = m_settings.maximumLongShare;
    if (m_settings.objective == Objective::ShortSlowdown)
        most = std::clamp(1 - m_settings.shortHeadroom * m_loadView.shortOccupancy(),
                          m_settings.minimumLongShare, most);
    const double wanted = m_settings.longHeadroom * m_loadView.longOccupancy();
    return std::min(most, std::max(m_settings.minimumLongShare, wanted));
}

std::vector<bool> Router::preferredForLong(std::span<const Candidate> candidates) const
{
    // All entries order the upstreams by the same hash, so that they agree without messages.
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::string &upstream = candidates[index].upstream;
        order.emplace_back(XXH3_64bits(upstream.data(), upstream.size()), index);
    }
    std::sort(order.begin(), order.end());
    std::vector<bool> preferred(candidates.size(), false);
    const auto count = std::llround(longShare() * static_cast<double>(candidates.size()));
    for (std::size_t place = 0; place < static_cast<std::size_t>(count); ++place)
        preferred[order[place].second] = true;
    return preferred;
}

std::vector<Router::Group> Router::groups(const RouteRequest &request,
                                          std::span<const Candidate> candidates, bool isShort,
                                          Random &random) const
{
    const bool pools = m_settings.usePools && m_settings.objective == Objective::ShortSlowdown;
    const std::vector<bool> forLong =
            pools ? preferredForLong(candidates) : std::vector<bool>(candidates.size(), !isShort);
    double crossing = m_settings.shortCrossingSeconds;
    if (!isShort && !candidates.empty())
        crossing = m_settings.longCrossingFactor
                * m_costModel
                          .predict(candidates.front().upstream, request.model, request.promptTokens,
                                   0, 0)
                          .prefillSeconds;
    std::vector<Group> result(6);
    for (std::size_t distance = 0; distance < 3; ++distance) {
        result[2 * distance].extraSeconds = m_settings.distanceSeconds[distance];
        result[2 * distance + 1].extraSeconds = m_settings.distanceSeconds[distance] + crossing;
        result[2 * distance + 1].crosses = true;
    }
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        if (!mayUse(request, candidate)
            || (candidate.share < 1 && random.unit() >= candidate.share))
            continue;
        const std::size_t crosses = forLong[index] == isShort ? 1 : 0;
        result[2 * static_cast<std::size_t>(candidate.distance) + crosses].indices.push_back(index);
    }
    std::stable_sort(result.begin(), result.end(), [](const Group &left, const Group &right) {
        return left.extraSeconds < right.extraSeconds;
    });
    return result;
}

std::optional<Router::Scored> Router::bestSampled(const RouteRequest &request,
                                                  std::span<const Candidate> candidates,
                                                  TimePoint now, Random &random) const
{
    const int rank = lengthRank(request.promptTokens);
    const bool confined =
            usesPools() && rank == 2 && m_settings.objective == Objective::ShortSlowdown;
    std::optional<Scored> best;
    Indices all;
    for (Group &group : groups(request, candidates, rank == 0, random)) {
        // A long prompt waits for memory on a preferred engine rather than slow down short ones.
        if (confined && group.crosses && !all.empty())
            continue;
        // A farther or less suitable group pays off only if it saves more waiting than it costs.
        if (best && best->fits && best->decision.waitSeconds <= group.extraSeconds)
            break;
        all.insert(all.end(), group.indices.begin(), group.indices.end());
        sampleFront(group.indices, rank == 0 ? m_settings.samples : m_settings.longSamples, random);
        std::optional<Scored> other = bestOf(request, candidates, group.indices, now);
        if (!other)
            continue;
        other->score += group.extraSeconds;
        if (!best || std::pair(!other->fits, other->score) < std::pair(!best->fits, best->score))
            best = std::move(other);
    }
    return best && best->fits ? best : bestOf(request, candidates, all, now);
}

std::optional<Router::Scored> Router::bestHolder(const RouteRequest &request,
                                                 std::span<const Candidate> candidates,
                                                 TimePoint now) const
{
    std::optional<Scored> best;
    const std::vector<bool> forLong = preferredForLong(candidates);
    const bool isShort = request.promptTokens <= shortPromptTokens;
    const bool pools =
            usesPools() && std::find(forLong.begin(), forLong.end(), true) != forLong.end();
    for (const PrefixHolder &holder : m_prefixIndex.find(request.prefix, now)) {
        const auto candidate = std::find_if(
                candidates.begin(), candidates.end(),
                [&holder](const Candidate &other) { return other.upstream == holder.upstream; });
        if (candidate == candidates.end() || candidate->share < 1 || !mayUse(request, *candidate))
            continue;
        const auto index = static_cast<std::size_t>(candidate - candidates.begin());
        if (pools && forLong[index] == isShort)
            continue;
        std::optional<Scored> scored = score(request, *candidate, holder.tokens, now);
        if (scored)
            scored->score = scored->decision.firstTokenSeconds;
        if (scored && scored->fits && (!best || scored->score < best->score))
            best = std::move(scored);
    }
    return best;
}

RouteDecision Router::choose(const RouteRequest &request, std::span<const Candidate> candidates,
                             TimePoint now, Random &random)
{
    std::optional<Scored> best = bestSampled(request, candidates, now, random);
    if (!best)
        return {};
    if (!best->fits) {
        RouteDecision refused;
        refused.refusal = RefusalReason::UpstreamMemory;
        refused.cost = best->decision.cost;
        refused.largestCapacity = best->capacity;
        return refused;
    }
    if (m_settings.useAffinity && !request.prefix.empty()) {
        std::optional<Scored> holder = bestHolder(request, candidates, now);
        const double limit = best->decision.waitSeconds + m_settings.affinityLimitSeconds;
        const double saved = best->decision.cost.prefillSeconds
                - (holder ? holder->decision.cost.prefillSeconds : 0);
        if (holder && saved >= m_settings.affinityLeastSeconds && holder->score < best->score
            && holder->decision.waitSeconds <= limit)
            return holder->decision;
    }
    return best->decision;
}

std::vector<std::string> Router::chooseGroup(const RouteRequest &request,
                                             std::span<const Candidate> candidates, TimePoint now,
                                             std::size_t maximumEngines) const
{
    const std::vector<bool> forLong =
            usesPools() ? preferredForLong(candidates) : std::vector<bool>(candidates.size(), true);
    std::array<std::vector<FreeEngine>, 3> byDistance; // Up to each distance, preferred engines.
    std::vector<FreeEngine> all;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        const UpstreamLoad load = m_loadView.load(candidate.upstream, now);
        if (!mayUse(request, candidate) || !load.accepting)
            continue;
        const auto free = static_cast<std::int64_t>(static_cast<double>(load.kvFree)
                                                    * m_settings.memoryShare);
        all.emplace_back(free, candidate.upstream);
        for (int distance = candidate.distance; forLong[index] && distance < 3; ++distance)
            byDistance[static_cast<std::size_t>(distance)].emplace_back(free, candidate.upstream);
    }
    const std::int64_t needed = request.promptTokens + request.outputTokens;
    for (std::vector<FreeEngine> &engines : byDistance) {
        std::vector<std::string> group = smallestGroup(engines, needed, maximumEngines);
        if (!group.empty())
            return group;
    }
    // The preferred engines become free in time, unless they are too few for this prompt.
    const std::size_t preferred = byDistance.back().size();
    return preferred < maximumEngines ? smallestGroup(all, needed, maximumEngines)
                                      : std::vector<std::string> {};
}

namespace {

/// The mean over the usable candidates of what `wait` reads from their load.
double meanWait(const LoadView &loadView, std::span<const Candidate> candidates, TimePoint now,
                double UpstreamLoad::*wait)
{
    double sum = 0;
    int known = 0;
    for (const Candidate &candidate : candidates) {
        const UpstreamLoad load = loadView.load(candidate.upstream, now);
        if (!candidate.usable || !load.accepting)
            continue;
        sum += load.*wait;
        ++known;
    }
    return known == 0 ? 0 : sum / known;
}

} // namespace

double fleetPressure(const LoadView &loadView, std::span<const Candidate> candidates,
                     double referenceSeconds, TimePoint now)
{
    return meanWait(loadView, candidates, now, &UpstreamLoad::totalWaitSeconds) / referenceSeconds;
}

double shortPressure(const LoadView &loadView, std::span<const Candidate> candidates, TimePoint now)
{
    constexpr double firstTokenAimSeconds = 0.35;
    return meanWait(loadView, candidates, now, &UpstreamLoad::shortWaitSeconds)
            / firstTokenAimSeconds;
}

} // namespace Lavenderpick
