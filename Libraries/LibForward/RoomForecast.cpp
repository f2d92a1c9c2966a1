#include "lavenderpick/Forward/RoomForecast.h"

#include <algorithm>
#include <cmath>

namespace Lavenderpick {

namespace {

// As in `PlacerSettings`: the rest covers unreported use.
constexpr double usableMemoryShare = 0.95;
// Streams generate half of their maximum on average, so one that runs is expected to generate half
// of what its maximum still allows.
constexpr double expectedShareOfRest = 0.5;

constexpr double stepMs = static_cast<double>(RoomForecast::step.count());

std::int64_t neededTokens(const RoomDemand &demand)
{
    return std::max<std::int64_t>(1, demand.size.promptTokens + demand.size.maximumOutputTokens);
}

double passCount(const EngineParameters &engine, std::int64_t outputTokens)
{
    return std::ceil(static_cast<double>(outputTokens) / std::max(1, engine.tokensPerPass));
}

double remainingMs(const OpenWork &work, double longestDecodeMs, TimePoint now)
{
    const double prefillMs =
            work.prefilling ? std::max(0.0, inMilliseconds(work.prefillUntil - now)) : 0;
    if (!work.decodes)
        return prefillMs;
    const double decodedMs = work.prefilling ? 0 : inMilliseconds(now - work.decodingSince);
    return prefillMs + expectedShareOfRest * std::max(0.0, longestDecodeMs - decodedMs);
}

} // namespace

RoomForecast::RoomForecast(const EngineParameters &parameters,
                           const std::vector<const UpstreamRecord *> &upstreams,
                           const LoadLedger &ledger, TimePoint now)
    : m_parameters(parameters)
    , m_madeAt(now)
{
    const auto memory = static_cast<std::int64_t>(static_cast<double>(parameters.kvCapacityTokens)
                                                  * usableMemoryShare);
    m_engines.reserve(upstreams.size());
    for (const UpstreamRecord *record : upstreams) {
        const UpstreamLoad &load = ledger.load(record->id);
        Engine engine { .prefillWaitMs = load.prefillWaitMs(now),
                        .freeSlots =
                                parameters.maximumBatchSize - static_cast<int>(load.open().size()),
                        .freeKvCacheTokens = memory - load.kvCacheTokens(),
                        .releases = {} };
        const double passMs = decodePassMs(parameters, std::max(1, load.decodingRequests()),
                                           load.contextTokens());
        engine.releases.reserve(load.open().size());
        for (const auto &[key, work] : load.open()) {
            const double endMs =
                    remainingMs(work, passCount(parameters, work.outputTokens) * passMs, now);
            const auto endStep = static_cast<std::size_t>(std::ceil(endMs / stepMs));
            if (endStep < steps)
                engine.releases.push_back({ .step = endStep, .kvCacheTokens = work.kvCacheTokens });
        }
        std::sort(engine.releases.begin(), engine.releases.end(),
                  [](const Release &a, const Release &b) { return a.step < b.step; });
        m_engines.push_back(std::move(engine));
    }
}

Duration RoomForecast::duration(const RoomDemand &demand) const
{
    const double decodeMs = expectedShareOfRest
            * passCount(m_parameters, demand.size.maximumOutputTokens)
            * decodePassMs(m_parameters, m_parameters.maximumBatchSize / 2 + 1,
                           demand.size.promptTokens);
    return fromMilliseconds(std::min(prefillTimeMs(demand), inMilliseconds(demand.objective))
                            + decodeMs);
}

RoomForecast::Rooms RoomForecast::rooms(const RoomDemand &demand) const
{
    return demand.maySplit ? roomsOverAllEngines(demand) : roomsAtSingleEngines(demand);
}

RoomForecast::Rooms RoomForecast::roomsAtSingleEngines(const RoomDemand &demand) const
{
    const std::int64_t needed = neededTokens(demand);
    const double longestWaitMs = inMilliseconds(demand.objective) - prefillTimeMs(demand);
    std::array<std::int64_t, steps> added {};
    for (const Engine &engine : m_engines) {
        const double prefillFreeMs = std::max(0.0, engine.prefillWaitMs - longestWaitMs);
        const auto firstStep = static_cast<std::size_t>(std::ceil(prefillFreeMs / stepMs));
        std::int64_t slots = engine.freeSlots;
        std::int64_t tokens = engine.freeKvCacheTokens;
        std::int64_t counted = 0;
        const auto addFrom = [&](std::size_t atStep) {
            const std::int64_t fitting =
                    std::max<std::int64_t>(0, std::min(slots, tokens / needed));
            const std::size_t from = std::max(atStep, firstStep);
            if (from < steps)
                added[from] += fitting - counted;
            counted = fitting;
        };
        addFrom(0);
        for (const Release &release : engine.releases) {
            ++slots;
            tokens += release.kvCacheTokens;
            addFrom(release.step);
        }
    }
    Rooms rooms {};
    std::int64_t fitting = 0;
    for (std::size_t index = 0; index < steps; ++index) {
        fitting += added[index];
        const auto count = static_cast<double>(fitting);
        // An engine has room only if it has all three.
        rooms[index] = { .byMemory = count, .bySlots = count, .byPrefill = count };
    }
    return rooms;
}

RoomForecast::Rooms RoomForecast::roomsOverAllEngines(const RoomDemand &demand) const
{
    // A prompt may be split, and KV cache that its engine lacks is reserved at its helpers.
    std::array<std::int64_t, steps> tokens {};
    std::array<int, steps> slots {};
    const double objectiveMs = inMilliseconds(demand.objective);
    std::array<double, steps> freePrefillMs {};
    freePrefillMs.fill(objectiveMs * static_cast<double>(m_engines.size()));
    for (const Engine &engine : m_engines) {
        tokens[0] += std::max<std::int64_t>(0, engine.freeKvCacheTokens);
        slots[0] += std::max(0, engine.freeSlots);
        for (const Release &release : engine.releases) {
            tokens[release.step] += release.kvCacheTokens;
            ++slots[release.step];
        }
        // Only an engine with prompts to prefill has less than the objective.
        for (std::size_t index = 0; index < steps; ++index) {
            const double prefillWaitMs = engine.prefillWaitMs - static_cast<double>(index) * stepMs;
            if (prefillWaitMs <= 0)
                break;
            freePrefillMs[index] -= std::min(objectiveMs, prefillWaitMs);
        }
    }
    const auto needed = static_cast<double>(neededTokens(demand));
    const double neededMs = std::max(0.001, prefillTimeMs(demand));
    Rooms rooms {};
    std::int64_t freeTokens = 0;
    std::int64_t freeSlots = 0;
    for (std::size_t index = 0; index < steps; ++index) {
        freeTokens += tokens[index];
        freeSlots += slots[index];
        rooms[index] = { .byMemory = static_cast<double>(freeTokens) / needed,
                         .bySlots = static_cast<double>(freeSlots),
                         .byPrefill = freePrefillMs[index] / neededMs };
    }
    return rooms;
}

} // namespace Lavenderpick
