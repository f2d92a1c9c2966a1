#include "lavenderpick/Forward/Placer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace Lavenderpick {

namespace {

// Covers a round trip of the caller and some passes of an engine.
constexpr Duration minimumRetryAfter { Milliseconds(300) };

} // namespace

double Placer::minimumDecodeWaitMs(const EngineParameters &engine,
                                   const std::vector<Candidate> &candidates,
                                   const GenerationSize &size)
{
    // Streams generate less than their maximum: in simulated days the median took 0.45 of the time.
    constexpr double outputShare = 0.5;
    const double passes = std::ceil(static_cast<double>(size.maximumOutputTokens)
                                    / std::max(1, engine.tokensPerPass));
    double minimumMs = std::numeric_limits<double>::infinity();
    for (const Candidate &candidate : candidates) {
        double candidateWaitMs = candidate.decodePassMs;
        // The streams of a full batch are assumed to end at even intervals.
        if (static_cast<int>(candidate.load->open().size()) >= engine.maximumBatchSize)
            candidateWaitMs +=
                    outputShare * passes * candidate.decodePassMs / engine.maximumBatchSize;
        minimumMs = std::min(minimumMs, candidateWaitMs);
    }
    return candidates.empty() ? 0 : minimumMs;
}

std::vector<Placer::Candidate>
Placer::candidates(const PlacementRequest &request, const EngineParameters &engine,
                   const std::vector<const UpstreamRecord *> &upstreams, const LoadLedger &ledger,
                   TimePoint now) const
{
    const double weight = generationWeight(request.size);
    std::vector<Candidate> result;
    result.reserve(upstreams.size());
    for (const UpstreamRecord *record : upstreams) {
        if (!request.allows(*record, ledger))
            continue;
        const UpstreamLoad &load = ledger.load(record->id);
        const double otherZone = record->availabilityZone == request.availabilityZone ? 0 : 1;
        const double tighterGap = request.gapObjective < load.tightestGap() ? 1 : 0;
        const double slots = std::max(1, record->capacity);
        const double factor = request.speeds != nullptr ? request.speeds->factor(*record) : 1;
        const auto memory = static_cast<std::int64_t>(static_cast<double>(engine.kvCapacityTokens)
                                                      * m_settings.memoryShare);
        result.push_back({
                .record = record,
                .load = &load,
                .mayDecode = !request.helpersOnly.contains(record->id),
                .prefillWaitMs = load.prefillWaitMs(now),
                .decodePassMs = factor
                        * decodePassMs(engine, load.decodingRequests(), load.contextTokens()),
                .speedFactor = factor,
                .prefillBias = weight
                        * (m_settings.otherZoneShare * otherZone
                           + m_settings.jitterShare * m_random.unit()),
                .decodeBias = weight
                        * (m_settings.freeSlotShare
                                   * std::max(0.0,
                                              1 - static_cast<double>(load.open().size()) / slots)
                           + m_settings.tighterGapShare * tighterGap),
                .freeKvCacheTokens = memory - load.kvCacheTokens(),
        });
    }
    return result;
}

double Placer::latenessCost(double firstEventMs, const PlacementRequest &request) const
{
    // A caller that leaves before the answer gets nothing, and the work done for it is wasted.
    constexpr double abandonedShare = 1'000;
    // Relative to the whole objective: the remaining time may be too short to tell choices apart.
    const double objectiveMs = std::max(1.0, inMilliseconds(request.objective));
    const double weight = generationWeight(request.size);
    const double ratio =
            std::max(0.0, 1 + (firstEventMs - inMilliseconds(request.objectiveLeft)) / objectiveMs);
    if (firstEventMs > inMilliseconds(request.deadlineLeft))
        return weight * abandonedShare * ratio;
    if (ratio > 1)
        return weight * (m_settings.lateShare + m_settings.proximityShare * std::min(ratio, 10.0));
    return weight * m_settings.proximityShare * ratio * ratio;
}

double Placer::interferenceCost(const Candidate &candidate, double prefillMs, TimePoint now) const
{
    // A decode pass may prefill all waiting prompts, and its events are sent when it ends.
    const double passMs = candidate.decodePassMs + m_settings.gapMarginMs;
    const double busyMs = candidate.load->prefillBusyMs(now);
    double cost = 0;
    for (const auto &[key, work] : candidate.load->open()) {
        if (!work.prefilling && work.gapObjective == Duration {})
            continue;
        const double allowedMs = work.prefilling ? inMilliseconds(work.firstEventDue - now)
                                                 : inMilliseconds(work.gapObjective);
        // The new prefill ends the busy period. Requests that waiting prefills already make late
        // don't count.
        const double before = passMs + candidate.prefillWaitMs;
        const double after = prefillMs + (work.prefilling ? before : passMs + busyMs);
        if (after > allowedMs && before <= allowedMs)
            cost += work.weight * m_settings.lateShare;
    }
    return cost;
}

std::vector<Placer::Candidate>::iterator
Placer::chooseDecodeCandidate(std::vector<Candidate> &candidates, int parts,
                              std::int64_t neededTokens)
{
    const auto fits = [neededTokens](const Candidate &candidate) {
        return candidate.mayDecode && candidate.freeKvCacheTokens >= neededTokens;
    };
    // Prefers the lowest decode bias among the prefilling upstreams, else the cheapest that fits.
    auto best = candidates.end();
    for (auto entry = candidates.begin(); entry != candidates.begin() + parts; ++entry) {
        if (fits(*entry) && (best == candidates.end() || entry->decodeBias < best->decodeBias))
            best = entry;
    }
    if (best == candidates.end())
        best = std::find_if(candidates.begin(), candidates.end(), fits);
    if (best != candidates.end())
        return best;
    const auto most = std::max_element(candidates.begin(), candidates.begin() + parts,
                                       [](const Candidate &a, const Candidate &b) {
                                           return std::pair(a.mayDecode, a.freeKvCacheTokens)
                                                   < std::pair(b.mayDecode, b.freeKvCacheTokens);
                                       });
    return most->mayDecode ? most : candidates.end();
}

std::optional<PlacementDecision> Placer::placeParts(const PlacementRequest &request,
                                                    const EngineParameters &engine,
                                                    std::vector<Candidate> &candidates, int parts,
                                                    TimePoint now) const
{
    const double publishedPartMs = prefillMs(engine, request.size.promptTokens, parts);
    const bool usesCache = parts == 1 && !request.expectedCachedTokens.empty();
    for (Candidate &candidate : candidates) {
        double publishedMs = publishedPartMs;
        if (usesCache) {
            const auto cached = request.expectedCachedTokens.find(candidate.record->id);
            if (cached != request.expectedCachedTokens.end())
                publishedMs = cachedPrefillMs(engine, request.size.promptTokens, cached->second);
        }
        candidate.prefillMs = publishedMs * candidate.speedFactor;
        candidate.firstEventMs =
                candidate.prefillWaitMs + candidate.prefillMs + candidate.decodePassMs;
        // A full batch admits the next request only when another one ends.
        const auto open = static_cast<int>(candidate.load->open().size());
        if (open >= engine.maximumBatchSize)
            candidate.firstEventMs +=
                    inMilliseconds(Seconds(1)) * (1 + open - engine.maximumBatchSize);
        candidate.interferenceCost = interferenceCost(candidate, candidate.prefillMs, now);
        candidate.cost = latenessCost(candidate.firstEventMs, request) + candidate.interferenceCost
                + candidate.prefillBias + (parts == 1 ? candidate.decodeBias : 0);
    }
    const auto count = static_cast<std::size_t>(parts);
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    const std::int64_t needed = request.size.promptTokens + request.size.maximumOutputTokens;
    const auto decodeCandidate = chooseDecodeCandidate(candidates, parts, needed);
    if (decodeCandidate == candidates.end())
        return std::nullopt;
    std::rotate(candidates.begin(), decodeCandidate, decodeCandidate + 1);
    PlacementDecision decision;
    std::int64_t missingKvCacheTokens = needed - candidates.front().freeKvCacheTokens;
    double firstEventMs = 0;
    double partsCost = candidates.front().decodeBias;
    for (std::size_t index = 0; index < count; ++index) {
        const Candidate &candidate = candidates[index];
        firstEventMs = std::max(firstEventMs, candidate.firstEventMs);
        partsCost += candidate.interferenceCost + candidate.prefillBias;
        decision.interferenceCost += candidate.interferenceCost;
        PlacedPart part { .upstream = candidate.record->id,
                          .prefillMs = candidate.prefillMs,
                          .decodes = index == 0 };
        if (index == 0) {
            decision.upstream = candidate.record->id;
            part.kvCacheTokens = std::min(needed, candidate.freeKvCacheTokens);
        } else {
            decision.helpers.push_back(candidate.record->id);
            const std::int64_t reservedTokens =
                    std::min(missingKvCacheTokens, candidate.freeKvCacheTokens);
            if (missingKvCacheTokens > 0 && reservedTokens > 0) {
                decision.reservations.push_back(
                        { .upstream = candidate.record->id, .tokens = reservedTokens });
                part.kvCacheTokens = reservedTokens;
                missingKvCacheTokens -= reservedTokens;
            }
        }
        decision.placement.parts.push_back(part);
    }
    if (missingKvCacheTokens > 0)
        return std::nullopt;
    decision.predictedFirstEventMs = firstEventMs;
    const UpstreamLoad &load = *candidates.front().load;
    const double passes = std::ceil(static_cast<double>(request.size.maximumOutputTokens)
                                    / std::max(1, engine.tokensPerPass));
    decision.predictedEndMs = firstEventMs
            + passes * candidates.front().speedFactor
                    * decodePassMs(engine, load.decodingRequests() + 1,
                                   load.contextTokens() + needed);
    decision.cost = latenessCost(firstEventMs, request) + partsCost
            + generationWeight(request.size) * m_settings.splitShare * (parts - 1);
    return decision;
}

bool Placer::isShort(const EngineParameters &engine, const GenerationSize &size) const
{
    return size.promptTokens + size.maximumOutputTokens <= engine.kvCapacityTokens / 2
            && prefillMs(engine, size.promptTokens, 1) < m_settings.minimumSplitMs;
}

PlacementDecision Placer::placeGeneration(const PlacementRequest &request,
                                          const EngineParameters &engine,
                                          const std::vector<const UpstreamRecord *> &upstreams,
                                          const LoadLedger &ledger, TimePoint now) const
{
    std::vector<Candidate> all = candidates(request, engine, upstreams, ledger, now);
    if (std::none_of(all.begin(), all.end(),
                     [](const Candidate &candidate) { return candidate.mayDecode; }))
        return {};
    std::optional<PlacementDecision> best;
    constexpr std::array partCounts { 1, 2, 3, 4, 6, 8, 11, 14, 17 };
    const bool maySplit = !isShort(engine, request.size);
    for (const int parts : partCounts) {
        if (static_cast<std::size_t>(parts) > all.size() || parts > m_settings.maximumParts
            || (parts > 1 && !maySplit))
            break;
        std::optional<PlacementDecision> decision = placeParts(request, engine, all, parts, now);
        if (decision && (!best || decision->cost < best->cost))
            best = std::move(decision);
    }
    PlacementDecision decision;
    if (best && fromMilliseconds(best->predictedFirstEventMs) <= request.deadlineLeft) {
        decision = std::move(*best);
        decision.placement.size = request.size;
        decision.placement.gapObjective = request.gapObjective;
        decision.placement.firstEventDue = now + request.objectiveLeft;
        const int parts =
                maySplit ? std::min(m_settings.maximumParts, static_cast<int>(all.size())) : 1;
        double lowestFactor = all.front().speedFactor;
        for (const Candidate &candidate : all)
            lowestFactor = std::min(lowestFactor, candidate.speedFactor);
        decision.bestCaseFirstEventMs =
                lowestFactor * prefillMs(engine, request.size.promptTokens, parts)
                + minimumDecodeWaitMs(engine, all, request.size);
        return decision;
    }
    // Callers that return together find the same queue, so the delay lasts until the queue is short
    // enough to meet the objective. Without KV cache for the prompt, the shortest prefill queue is
    // the estimate of when some is free.
    double retryMs = all.front().prefillWaitMs;
    for (const Candidate &candidate : all)
        retryMs = std::min(retryMs, candidate.prefillWaitMs);
    if (best)
        retryMs = std::max(retryMs,
                           best->predictedFirstEventMs - inMilliseconds(request.objectiveLeft));
    decision.retryAfter = fromMilliseconds(retryMs * (1 + m_random.unit() / 2)) + minimumRetryAfter;
    return decision;
}

PlacementDecision Placer::placeCall(const PlacementRequest &request,
                                    const std::vector<const UpstreamRecord *> &upstreams,
                                    const LoadLedger &ledger, TimePoint now) const
{
    PlacementDecision decision;
    for (const UpstreamRecord *record : upstreams) {
        if (!request.allows(*record, ledger) || request.helpersOnly.contains(record->id))
            continue;
        const double taken = static_cast<double>(ledger.load(record->id).open().size())
                / std::max(1, record->capacity);
        const double otherZone = record->availabilityZone == request.availabilityZone ? 0 : 1;
        // Crossing zones costs about as much as 10% utilization.
        constexpr double otherZoneCost = 0.1;
        const double cost =
                taken + otherZoneCost * otherZone + m_settings.jitterShare * m_random.unit();
        if (decision.isPlaced() && cost >= decision.cost)
            continue;
        decision.upstream = record->id;
        decision.cost = cost;
    }
    if (!decision.isPlaced())
        return decision;
    decision.placement = {
        .parts = { { .upstream = decision.upstream, .decodes = true } },
        .firstEventDue = now + request.objectiveLeft,
    };
    return decision;
}

} // namespace Lavenderpick
