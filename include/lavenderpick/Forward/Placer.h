#pragma once

#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Forward/EngineSpeeds.h"
#include "lavenderpick/Forward/LoadLedger.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A request to place at an upstream.
struct PlacementRequest
{
    GenerationSize size {};    ///< Zero for services without engines.
    Duration objective {};     ///< From the arrival to the first event.
    Duration objectiveLeft {}; ///< Until the first event is due; negative when it is late.
    Duration deadlineLeft {};  ///< Until the caller gives up or its deadline passes.
    Duration gapObjective {};
    std::string availabilityZone;   ///< Of this gateway.
    std::set<std::string> excluded; ///< Upstreams that failed this request already.
    /// Upstreams that take no further request now, but may prefill parts of a prompt.
    std::set<std::string> helpersOnly {};
    /// Limit on the requests open at an upstream from all gateways, each of which needs a
    /// connection. Zero means no limit. Prompts that the upstream only helps to prefill count too,
    /// although they need no connection.
    int maximumOpenRequests { 0 };
    /// Factors for pass and prefill times; null if all engines have the published speed.
    const EngineSpeeds *speeds { nullptr };
    /// Tokens of the prompt's beginning that upstreams are expected to hold already. Only prompts
    /// that are not split are prefilled faster for it.
    std::map<std::string, std::int64_t> expectedCachedTokens {};

    /// Whether the upstream is not excluded and has fewer than `maximumOpenRequests` open.
    bool allows(const UpstreamRecord &record, const LoadLedger &ledger) const
    {
        return !excluded.contains(record.id)
                && (maximumOpenRequests == 0
                    || static_cast<int>(ledger.load(record.id).open().size())
                            < maximumOpenRequests);
    }
};

/// KV cache reserved at a helper for the part of a prompt that does not fit at the decoding
/// upstream.
struct MemoryReservation
{
    std::string upstream;
    std::int64_t tokens { 0 };

    bool operator==(const MemoryReservation &) const = default;
};

/// The upstreams chosen for a request, with the predicted latency and cost.
struct PlacementDecision
{
    std::string upstream;             ///< Decodes the answer; empty when none was chosen.
    std::vector<std::string> helpers; ///< Prefill the other parts of the prompt.
    std::vector<MemoryReservation> reservations;
    Placement placement;                ///< For the ledger.
    double predictedFirstEventMs { 0 }; ///< Time until the first event.
    /// Time until the last event if no other prompt is prefilled meanwhile; zero for plain
    /// services.
    double predictedEndMs { 0 };
    /// Time until the first event if no upstream had prefill work and the prompt were split over as
    /// many upstreams as possible.
    double bestCaseFirstEventMs { 0 };
    double cost { 0 };
    double interferenceCost { 0 }; ///< Cost of the other requests that this one would make late.
    /// When no upstream was chosen: estimated time until capacity is free. Empty when no upstream
    /// is available at all.
    std::optional<Duration> retryAfter {};

    bool isPlaced() const { return !upstream.empty(); }
};

struct PlacerSettings
{
    /// Share of a generation's value that is lost when it is late, from the users' specification.
    double lateShare { 0.75 };
    /// Weight of how close the first event comes to its objective. Ranks choices that all meet it.
    double proximityShare { 0.3 };
    /// Cost per share of free slots at an upstream. Fills upstreams one after the other, so that
    /// others are idle when the load shifts to long prompts.
    double freeSlotShare { 0.05 };
    /// Cost of a gap objective tighter than all others at an upstream, which then can't prefill
    /// long prompts. Packs short requests together, so that other upstreams stay free for long
    /// ones.
    double tighterGapShare { 0.1 };
    double otherZoneShare { 0.004 }; ///< Cost of crossing zones, where traffic is charged.
    double jitterShare { 0.004 };    ///< Random cost; gateways with equal views choose differently.
    double splitShare { 0.003 };     ///< Cost per helper: if one fails, the request fails.
    double memoryShare { 0.95 }; ///< Usable share of the KV cache; the rest covers unreported use.
    double minimumSplitMs { 120 }; ///< Prompts with a shorter prefill are not split.
    int maximumParts { 17 };       ///< The engines accept at most 16 helpers.
    /// Subtracted from the gap objective of streams, for delays that the latency model leaves out.
    double gapMarginMs { 12 };
};

/// Chooses upstreams for a mix of short and very long prompts.
///
/// Short prompts with tight objectives arrive together with prompts whose prefill takes seconds,
/// and the mix changes every few seconds. The placer weighs the lateness of the request itself
/// against the streams that it would make late at each upstream. Long prefills therefore gather at
/// upstreams without tight gap objectives, and no fixed pools are needed. Long prompts are split
/// over several upstreams when that makes fewer requests late.
///
/// Not safe for concurrent use.
class Placer
{
public:
    Placer(const PlacerSettings &settings, Random &random)
        : m_settings(settings)
        , m_random(random)
    { }

    /// Places a request for a service of model engines.
    PlacementDecision placeGeneration(const PlacementRequest &request,
                                      const EngineParameters &engine,
                                      const std::vector<const UpstreamRecord *> &upstreams,
                                      const LoadLedger &ledger, TimePoint now) const;

    /// Whether the prompt is never split and its prefill delays others by little.
    bool isShort(const EngineParameters &engine, const GenerationSize &size) const;

    /// Places a call to a plain service at the upstream with the lowest utilization.
    PlacementDecision placeCall(const PlacementRequest &request,
                                const std::vector<const UpstreamRecord *> &upstreams,
                                const LoadLedger &ledger, TimePoint now) const;

private:
    struct Candidate
    {
        const UpstreamRecord *record { nullptr };
        const UpstreamLoad *load { nullptr };
        bool mayDecode { true };
        double prefillWaitMs { 0 }; ///< Until the open prompts are prefilled.
        double decodePassMs { 0 };
        double speedFactor { 1 }; ///< By which it is slower than published.
        double prefillBias { 0 }; ///< Cost of zone and jitter.
        double decodeBias {
            0
        }; ///< Cost of free slots and a tighter gap; for the decoding upstream.
        double cost { 0 };
        double interferenceCost { 0 };
        double firstEventMs { 0 };
        double prefillMs { 0 }; ///< Of its part of the prompt.
        std::int64_t freeKvCacheTokens { 0 };
    };

    std::vector<Candidate> candidates(const PlacementRequest &request,
                                      const EngineParameters &engine,
                                      const std::vector<const UpstreamRecord *> &upstreams,
                                      const LoadLedger &ledger, TimePoint now) const;
    /// Shortest time in milliseconds from the end of prefill to the first event at any candidate.
    static double minimumDecodeWaitMs(const EngineParameters &engine,
                                      const std::vector<Candidate> &candidates,
                                      const GenerationSize &size);
    double latenessCost(double firstEventMs, const PlacementRequest &request) const;
    double interferenceCost(const Candidate &candidate, double prefillMs, TimePoint now) const;
    /// Chooses the upstream that decodes: one with enough free KV cache for the whole request if
    /// possible, else the one with the most among the first `parts`. The end if none of them may.
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
