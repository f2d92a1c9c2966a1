#include "lavenderpick/Forward/Placer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace Lavenderpick {

namespace {

// A round trip of a caller and some passes of an engine.
constexpr Duration leastRetryAfter { Milliseconds(300) };

} // namespace

double Placer::leastWritingWaitMs(const EngineParameters &engine,
                                  const std::vector<Candidate> &candidates,
                                  const GenerationSize &size)
{
    // Streams write less than their maximum: on played days the median took 0.45 of the time.
    constexpr double writtenShare = 0.5;
    const double passes = std::ceil(static_cast<double>(size.maximumOutputTokens)
                                    / std::max(1, engine.tokensPerPass));
    double least = std::numeric_limits<double>::infinity();
    for (const Candidate &candidate : candidates) {
        double soonestMs = candidate.writingPassMs;
        // The streams of a full batch end evenly spread.
        if (static_cast<int>(candidate.load->open().size()) >= engine.maximumBatchSize)
            soonestMs += writtenShare * passes * candidate.writingPassMs / engine.maximumBatchSize;
        least = std::min(least, soonestMs);
    }
    return candidates.empty() ? 0 : least;
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
        const double firstTight = request.gapObjective < load.tightestGap() ? 1 : 0;
        const double places = std::max(1, record->capacity);
        const auto memory = static_cast<std::int64_t>(static_cast<double>(engine.kvCapacityTokens)
                                                      * m_settings.memoryShare);
        result.push_back({
                .record = record,
                .load = &load,
                .readWaitMs = load.readWaitMs(now),
                .writingPassMs = writingPassMs(engine, load.writers(), load.contextTokens()),
                .readBias = weight
                        * (m_settings.otherZoneShare * otherZone
                           + m_settings.jitterShare * m_random.unit()),
                .writeBias = weight
                        * (m_settings.fillShare
                                   * std::max(0.0,
                                              1 - static_cast<double>(load.open().size()) / places)
                           + m_settings.firstTightShare * firstTight),
                .freeTokens = memory - load.memoryTokens(),
        });
    }
    return result;
}

double Placer::latenessCost(double firstMs, const PlacementRequest &request) const
{
    // A caller that leaves before its answer gets nothing, and its work is lost.
    constexpr double abandonedShare = 1'000;
    // Measured by the whole objective: what is left may be so short that all choices look alike.
    const double objectiveMs = std::max(1.0, inMilliseconds(request.objective));
    const double weight = generationWeight(request.size);
    const double ratio =
            std::max(0.0, 1 + (firstMs - inMilliseconds(request.objectiveLeft)) / objectiveMs);
    if (firstMs > inMilliseconds(request.patienceLeft))
        return weight * abandonedShare * ratio;
    if (ratio > 1)
        return weight * (m_settings.lateShare + m_settings.nearnessShare * std::min(ratio, 10.0));
    return weight * m_settings.nearnessShare * ratio * ratio;
}

double Placer::harm(const Candidate &candidate, double readMs, TimePoint now) const
{
    // A pass that writes may read all prompts that wait, and its events leave at its end.
    const double passMs = candidate.writingPassMs + m_settings.gapMarginMs;
    const double stretchMs = candidate.load->readStretchMs(now);
    double harmed = 0;
    for (const auto &[key, work] : candidate.load->open()) {
        if (!work.reading && work.gapObjective == Duration {})
            continue;
        const double allowedMs = work.reading ? inMilliseconds(work.firstDue - now)
                                              : inMilliseconds(work.gapObjective);
        // What comes last in a stretch makes a stream late, unless what still waits already does.
        const double before = passMs + candidate.readWaitMs;
        const double after = readMs + (work.reading ? before : passMs + stretchMs);
        if (after > allowedMs && before <= allowedMs)
            harmed += work.weight * m_settings.lateShare;
    }
    return harmed;
}

std::vector<Placer::Candidate>::iterator
Placer::chooseAnswering(std::vector<Candidate> &candidates, int parts, std::int64_t neededTokens)
{
    const auto holdsAll = [neededTokens](const Candidate &candidate) {
        return candidate.freeTokens >= neededTokens;
    };
    // Among those that read, the one that suits the stream best; else the cheapest that holds it.
    auto best = candidates.end();
    for (auto entry = candidates.begin(); entry != candidates.begin() + parts; ++entry) {
        if (holdsAll(*entry) && (best == candidates.end() || entry->writeBias < best->writeBias))
            best = entry;
    }
    if (best == candidates.end())
        best = std::find_if(candidates.begin(), candidates.end(), holdsAll);
    if (best != candidates.end())
        return best;
    return std::max_element(
            candidates.begin(), candidates.begin() + parts,
            [](const Candidate &a, const Candidate &b) { return a.freeTokens < b.freeTokens; });
}

std::optional<PlacementDecision> Placer::placeParts(const PlacementRequest &request,
                                                    const EngineParameters &engine,
                                                    std::vector<Candidate> &candidates, int parts,
                                                    TimePoint now) const
{
    const double partMs = readMs(engine, request.size.promptTokens, parts);
    for (Candidate &candidate : candidates) {
        candidate.firstMs = candidate.readWaitMs + partMs + candidate.writingPassMs;
        // A full batch admits the next request when another ends.
        const auto open = static_cast<int>(candidate.load->open().size());
        if (open >= engine.maximumBatchSize)
            candidate.firstMs += inMilliseconds(Seconds(1)) * (1 + open - engine.maximumBatchSize);
        candidate.harm = harm(candidate, partMs, now);
        candidate.cost = latenessCost(candidate.firstMs, request) + candidate.harm
                + candidate.readBias + (parts == 1 ? candidate.writeBias : 0);
    }
    const auto count = static_cast<std::size_t>(parts);
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    const std::int64_t needed = request.size.promptTokens + request.size.maximumOutputTokens;
    const auto answering = chooseAnswering(candidates, parts, needed);
    std::rotate(candidates.begin(), answering, answering + 1);
    PlacementDecision decision;
    std::int64_t missing = needed - candidates.front().freeTokens;
    double firstMs = 0;
    double shared = candidates.front().writeBias;
    for (std::size_t index = 0; index < count; ++index) {
        const Candidate &candidate = candidates[index];
        firstMs = std::max(firstMs, candidate.firstMs);
        shared += candidate.harm + candidate.readBias;
        decision.harm += candidate.harm;
        PlacedPart part { .upstream = candidate.record->id,
                          .readMs = partMs,
                          .writes = index == 0 };
        if (index == 0) {
            decision.upstream = candidate.record->id;
            part.memoryTokens = std::min(needed, candidate.freeTokens);
        } else {
            decision.helpers.push_back(candidate.record->id);
            const std::int64_t held = std::min(missing, candidate.freeTokens);
            if (missing > 0 && held > 0) {
                decision.reservations.push_back(
                        { .upstream = candidate.record->id, .tokens = held });
                part.memoryTokens = held;
                missing -= held;
            }
        }
        decision.placement.parts.push_back(part);
    }
    if (missing > 0)
        return std::nullopt;
    decision.predictedFirstMs = firstMs;
    const UpstreamLoad &load = *candidates.front().load;
    const double passes = std::ceil(static_cast<double>(request.size.maximumOutputTokens)
                                    / std::max(1, engine.tokensPerPass));
    decision.predictedEndMs = firstMs
            + passes * writingPassMs(engine, load.writers() + 1, load.contextTokens() + needed);
    decision.cost = latenessCost(firstMs, request) + shared
            + generationWeight(request.size) * m_settings.splitShare * (parts - 1);
    return decision;
}

PlacementDecision Placer::placeGeneration(const PlacementRequest &request,
                                          const EngineParameters &engine,
                                          const std::vector<const UpstreamRecord *> &upstreams,
                                          const LoadLedger &ledger, TimePoint now) const
{
    std::vector<Candidate> all = candidates(request, engine, upstreams, ledger, now);
    std::optional<PlacementDecision> best;
    constexpr std::array partCounts { 1, 2, 3, 4, 6, 8, 11, 14, 17 };
    const std::int64_t needed = request.size.promptTokens + request.size.maximumOutputTokens;
    const bool splits = needed > engine.kvCapacityTokens / 2
            || readMs(engine, request.size.promptTokens, 1) >= m_settings.minimumSplitMs;
    for (const int parts : partCounts) {
        if (static_cast<std::size_t>(parts) > all.size() || parts > m_settings.maximumParts
            || (parts > 1 && !splits))
            break;
        std::optional<PlacementDecision> decision = placeParts(request, engine, all, parts, now);
        if (decision && (!best || decision->cost < best->cost))
            best = std::move(decision);
    }
    PlacementDecision decision;
    if (best && fromMilliseconds(best->predictedFirstMs) <= request.patienceLeft) {
        decision = std::move(*best);
        decision.placement.size = request.size;
        decision.placement.gapObjective = request.gapObjective;
        decision.placement.firstDue = now + request.objectiveLeft;
        const int parts =
                splits ? std::min(m_settings.maximumParts, static_cast<int>(all.size())) : 1;
        decision.fastestFirstMs = readMs(engine, request.size.promptTokens, parts)
                + leastWritingWaitMs(engine, all, request.size);
        return decision;
    }
    if (all.empty())
        return decision;
    // Callers that come back together find the same queue, so they are told when it has shrunk to
    // what they would wait for. Without memory for the prompt, the shortest queue tells when some
    // is free.
    double returnMs = all.front().readWaitMs;
    for (const Candidate &candidate : all)
        returnMs = std::min(returnMs, candidate.readWaitMs);
    if (best)
        returnMs =
                std::max(returnMs, best->predictedFirstMs - inMilliseconds(request.objectiveLeft));
    decision.retryAfter = fromMilliseconds(returnMs * (1 + m_random.unit() / 2)) + leastRetryAfter;
    return decision;
}

PlacementDecision Placer::placeCall(const PlacementRequest &request,
                                    const std::vector<const UpstreamRecord *> &upstreams,
                                    const LoadLedger &ledger, TimePoint now) const
{
    PlacementDecision decision;
    for (const UpstreamRecord *record : upstreams) {
        if (!request.allows(*record, ledger))
            continue;
        const double taken = static_cast<double>(ledger.load(record->id).open().size())
                / std::max(1, record->capacity);
        const double otherZone = record->availabilityZone == request.availabilityZone ? 0 : 1;
        // Crossing zones costs about as much as a tenth of the places being taken.
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
        .parts = { { .upstream = decision.upstream, .writes = true } },
        .firstDue = now + request.objectiveLeft,
    };
    return decision;
}

} // namespace Lavenderpick
