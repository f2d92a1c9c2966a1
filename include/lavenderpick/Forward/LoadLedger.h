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

/// Names one placement among all gateways.
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
    double prefillMs { 0 };      ///< Predicted time to read its share of the prompt.
    std::int64_t kvTokens { 0 }; ///< Engine memory that it takes there.
    bool decodes { false };      ///< The answer is written there; the others only read.

    bool operator==(const PlacedPart &) const = default;
};

/// A request that was sent to upstreams and has not ended.
struct Placement
{
    std::vector<PlacedPart> parts;
    GenerationSize size {};
    Duration gapObjective {};   ///< Zero where pauses do not matter.
    TimePoint firstEventDue {}; ///< When the first event is due by the objective.
    TimePoint expires {};       ///< Forgotten then, should its end never be heard of.

    bool operator==(const Placement &) const = default;
};

/// One request as an upstream sees it.
struct OpenWork
{
    double prefillMs { 0 };
    double weight { 0 };
    Duration gapObjective {};
    TimePoint firstEventDue {};
    TimePoint prefillUntil {}; ///< Predicted end of its reading.
    std::int64_t kvTokens { 0 };
    std::int64_t contextTokens { 0 };
    bool prefilling { true };
    bool decodes { false };
};

/// All that is known to be open at one upstream.
class UpstreamLoad
{
public:
    const std::map<PlacementKey, OpenWork> &open() const { return m_open; }
    int decodingRequests() const { return m_decodingRequests; }
    std::int64_t contextTokens() const { return m_contextTokens; }
    std::int64_t kvTokens() const { return m_kvTokens; }
    bool isIdle() const { return m_open.empty(); }

    /// The shortest pause that a stream here allows; the longest duration where there is none.
    Duration tightestGap() const;

    /// Milliseconds until the prompts that are open now are read.
    double prefillWaitMs(TimePoint now) const;

    /// Milliseconds of the whole stretch of reading that goes on now, past and to come. A pass
    /// takes in prompts that arrive while it reads, and the streams' events leave at its end.
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
    std::int64_t m_kvTokens { 0 };
    TimePoint m_prefillSince {};
    TimePoint m_prefillUntil {};
};

/// What this gateway and its peers have placed at the upstreams. Not safe for concurrent use.
///
/// It knows of work before the engine reports it, so that several gateways do not all choose the
/// upstream that was idle in the last report.
class LoadLedger
{
public:
    void begin(const PlacementKey &key, const Placement &placement, TimePoint now);

    /// The first event arrived: the prompt is read, helpers are free, and the answer is written.
    void markPrefilled(const PlacementKey &key, TimePoint now);

    void end(const PlacementKey &key, TimePoint now);

    /// Forgets placements whose end was never heard of.
    void expire(TimePoint now);

    /// Forgets all of a gateway that restarted.
    void forgetGateway(const std::string &gateway, TimePoint now);

    /// An open placement, and whether its prompt is read.
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
