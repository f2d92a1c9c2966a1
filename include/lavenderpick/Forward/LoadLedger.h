#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Forward/EngineLatencyModel.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Lavenderpick {

/// Identifies a placement across all gateways.
struct PlacementKey
{
    std::string gateway;
    std::uint64_t number { 0 };

    bool operator==(const PlacementKey &) const = default;
    bool operator<(const PlacementKey &other) const
    {
        return std::tie(gateway, number) < std::tie(other.gateway, other.number);
    }
};

/// The work of one request at one upstream.
struct PlacedPart
{
    std::string upstream;
    double prefillMs { 0 };           ///< Predicted prefill time of its share of the prompt.
    std::int64_t kvCacheTokens { 0 }; ///< KV cache that it uses there.
    bool decodes { false };           ///< Decodes the answer; the other parts only prefill.

    bool operator==(const PlacedPart &) const = default;
};

/// The upstreams, size and due times of a request that has not ended.
struct Placement
{
    std::vector<PlacedPart> parts;
    GenerationSize size {};
    Duration gapObjective {};   ///< Zero where gaps don't matter.
    TimePoint firstEventDue {}; ///< When the first event is due by the objective.
    TimePoint expires {};       ///< When it is dropped if its end is never reported.

    bool operator==(const Placement &) const = default;
};

/// The part of one request that runs at one upstream.
struct OpenWork
{
    double prefillMs { 0 };
    double weight { 0 };
    Duration gapObjective {};
    TimePoint firstEventDue {};
    TimePoint prefillUntil {}; ///< Predicted end of its prefill.
    std::int64_t kvCacheTokens { 0 };
    std::int64_t contextTokens { 0 };
    std::int64_t outputTokens { 0 }; ///< The most that it generates.
    TimePoint decodingSince {};      ///< Set once its prompt is prefilled.
    bool prefilling { true };
    bool decodes { false };
};

/// The known open work at one upstream.
class UpstreamLoad
{
public:
    const std::map<PlacementKey, OpenWork> &open() const { return m_open; }
    int decodingRequests() const { return m_decodingRequests; }
    std::int64_t contextTokens() const { return m_contextTokens; }
    std::int64_t kvCacheTokens() const { return m_kvCacheTokens; }
    bool isIdle() const { return m_open.empty(); }

    /// The shortest gap objective of the requests decoded here; `Duration::max()` without any.
    Duration tightestGap() const;

    /// Milliseconds until the prompts that are open now are prefilled.
    double prefillWaitMs(TimePoint now) const;

    /// Length in milliseconds of the current busy period of prefill, elapsed and remaining. A pass
    /// includes prompts that arrive during its prefill, and its events are sent when it ends.
    double prefillBusyMs(TimePoint now) const;

private:
    friend class LoadLedger;

    void add(const PlacementKey &key, const OpenWork &work, TimePoint now);
    void markPrefilled(const PlacementKey &key, TimePoint now);
    void remove(const PlacementKey &key, TimePoint now);
    void shortenPrefill(TimePoint now);

    std::map<PlacementKey, OpenWork> m_open;
    int m_decodingRequests { 0 };
    std::int64_t m_contextTokens { 0 };
    std::int64_t m_kvCacheTokens { 0 };
    TimePoint m_prefillSince {};
    TimePoint m_prefillUntil {};
};

/// The placements of this gateway and its peers at the upstreams. Not safe for concurrent use.
///
/// It includes work that the engines have not reported yet, so that several gateways don't all
/// choose the upstream that was idle in the last report.
class LoadLedger
{
public:
    void begin(const PlacementKey &key, Placement placement, TimePoint now);

    /// Call when the first event arrives: the prompt is prefilled, the helpers are released, and
    /// decoding has begun.
    void markPrefilled(const PlacementKey &key, TimePoint now);

    void end(const PlacementKey &key, TimePoint now);

    /// Drops placements whose `expires` has passed; their end was never reported.
    void expire(TimePoint now);

    /// Drops all placements of a gateway that restarted.
    void forgetGateway(const std::string &gateway, TimePoint now);

    /// An open placement, and whether its prompt is prefilled.
    struct OpenPlacement
    {
        PlacementKey key;
        Placement placement;
        bool prefilled { false };
    };

    /// All open placements of a gateway.
    std::vector<OpenPlacement> openPlacements(const std::string &gateway) const;

    const UpstreamLoad &load(const std::string &upstream) const;
    std::size_t size() const { return m_placements.size(); }
    std::size_t busyUpstreams() const { return m_loads.size(); }

private:
    std::map<PlacementKey, Placement> m_placements;
    std::unordered_map<std::string, UpstreamLoad> m_loads;
};

} // namespace Lavenderpick
