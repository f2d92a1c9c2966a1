#pragma once

#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Forward/LoadLedger.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A request that needs an upstream.
struct PlacementRequest
{
    GenerationSize size {};    ///< Zero for services without engines.
    Duration objective {};     ///< From the arrival to the first event.
    Duration objectiveLeft {}; ///< Until the first event is due; negative when it is late.
    Duration deadlineLeft {};  ///< Until the caller gives up or the deadline passes.
    Duration gapObjective {};
    std::string availabilityZone;   ///< Of this gateway.
    std::set<std::string> excluded; ///< Upstreams that failed this request already.
    /// Requests that an upstream takes from all gateways; each needs a connection. Zero: no bound.
    /// Prompts that it only helps to read count too, although they need none.
    int maximumOpenRequests { 0 };

    /// Whether the upstream may get this request.
    bool allows(const UpstreamRecord &record, const LoadLedger &ledger) const
    {
        return !excluded.contains(record.id)
                && (maximumOpenRequests == 0
                    || static_cast<int>(ledger.load(record.id).open().size())
                            < maximumOpenRequests);
    }
};

/// Memory of a prompt that does not fit at the upstream that answers.
struct MemoryReservation
{
    std::string upstream;
    std::int64_t tokens { 0 };

    bool operator==(const MemoryReservation &) const = default;
};

/// Where a request goes.
struct PlacementDecision
{
    std::string upstream;             ///< Answers; empty when there is none.
    std::vector<std::string> helpers; ///< Read parts of the prompt beside it.
    std::vector<MemoryReservation> reservations;
    Placement placement;                ///< For the ledger.
    double predictedFirstEventMs { 0 }; ///< Until the first event.
    /// Until the last event, if nothing else is read meanwhile; zero for plain services.
    double predictedEndMs { 0 };
    /// The same, if no upstream were reading and the prompt were split most.
    double bestCaseFirstEventMs { 0 };
    double cost { 0 };
    double interferenceCost { 0 }; ///< Weight of the requests of others that it would make late.
    /// When nothing can be chosen: how long until a place may be free. Empty when there is no
    /// upstream at all.
    std::optional<Duration> retryAfter {};

    bool isPlaced() const { return !upstream.empty(); }
};

struct PlacerSettings
{
    /// Share of a generation's worth that is lost when it is late, on the users' sheets.
    double lateShare { 0.75 };
    /// Rise of the cost as the first event nears its objective; separates choices that all keep it.
    double proximityShare { 0.3 };
    /// Cost of the places that are free at an upstream. Fills upstreams one after the other, so
    /// that the others run empty when long prompts take over.
    double freeSlotShare { 0.05 };
    /// Cost of being the first stream with so short a pause at an upstream, which then can't read
    /// long prompts. Gathers short requests, so that the other upstreams stay free for long ones.
    double tighterGapShare { 0.1 };
    double otherZoneShare { 0.004 }; ///< Weight of crossing zones: bytes between zones cost.
    double jitterShare { 0.004 };    ///< Keeps gateways with equal views apart.
    double splitShare { 0.003 };     ///< Cost of each helper, since one that fails fails all.
    double memoryShare { 0.95 };     ///< Of an engine's memory; the rest covers what is not seen.
    double minimumSplitMs { 120 };   ///< Shorter prompts are read by one engine.
    int maximumParts { 17 };         ///< The engines accept 16 helpers.
    /// Kept free of the pause that a stream allows, for what the formula does not cover.
    double gapMarginMs { 12 };
};

/// Chooses upstreams for the mix of short and very long prompts.
///
/// The load that it answers: short prompts that must be answered at once arrive beside prompts that
/// keep an engine reading for seconds, and the mix turns over every few seconds. It weighs how late
/// the request itself would be against how many streams it would make late at each upstream, so
/// that long reading gathers where nobody writes for a short pause, without fixed pools. Long
/// prompts are split over several upstreams when that makes fewer requests late.
///
/// Not safe for concurrent use.
class Placer
{
public:
    Placer(const PlacerSettings &settings, Random &random)
        : m_settings(settings)
        , m_random(random)
    { }

    /// For a service of model engines.
    PlacementDecision placeGeneration(const PlacementRequest &request,
                                      const EngineParameters &engine,
                                      const std::vector<const UpstreamRecord *> &upstreams,
                                      const LoadLedger &ledger, TimePoint now) const;

    /// For a plain service: the one with the smallest share of its places taken.
    PlacementDecision placeCall(const PlacementRequest &request,
                                const std::vector<const UpstreamRecord *> &upstreams,
                                const LoadLedger &ledger, TimePoint now) const;

private:
    struct Candidate
    {
        const UpstreamRecord *record { nullptr };
        const UpstreamLoad *load { nullptr };
        double prefillWaitMs { 0 }; ///< Until what is open there is read.
        double decodePassMs { 0 };
        double prefillBias { 0 }; ///< Zone and jitter.
        double decodeBias { 0 };  ///< Fill and pause; for the upstream that answers.
        double cost { 0 };
        double interferenceCost { 0 };
        double firstEventMs { 0 };
        std::int64_t freeKvTokens { 0 };
    };

    std::vector<Candidate> candidates(const PlacementRequest &request,
                                      const EngineParameters &engine,
                                      const std::vector<const UpstreamRecord *> &upstreams,
                                      const LoadLedger &ledger, TimePoint now) const;
    /// Milliseconds until the first event after a prompt is read: the pass of the upstream that
    /// writes soonest.
    static double minimumDecodeWaitMs(const EngineParameters &engine,
                                      const std::vector<Candidate> &candidates,
                                      const GenerationSize &size);
    double latenessCost(double firstEventMs, const PlacementRequest &request) const;
    double interferenceCost(const Candidate &candidate, double prefillMs, TimePoint now) const;
    /// Who answers: one that holds the prompt if there is one, else the one with most free memory.
    static std::vector<Candidate>::iterator
    chooseDecodeCandidate(std::vector<Candidate> &candidates, int parts, std::int64_t neededTokens);
    std::optional<PlacementDecision> placeParts(const PlacementRequest &request,
                                                const EngineParameters &engine,
                                                std::vector<Candidate> &candidates, int parts,
                                                TimePoint now) const;

    PlacerSettings m_settings;
    Random &m_random;
};

} // namespace Lavenderpick
