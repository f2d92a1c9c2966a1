#pragma once

#include "Services/Gateway/EngineCalls.h"
#include "Services/Gateway/EvacuationUpdates.h"
#include "Services/Gateway/GatewaySettings.h"
#include "Services/Gateway/UpstreamConnectionPool.h"
#include "Services/Gateway/WaitingRequests.h"
#include "lavenderpick/Base/Metrics.h"
#include "lavenderpick/Forward/ColdUpstreams.h"
#include "lavenderpick/Forward/ControlPlaneSource.h"
#include "lavenderpick/Forward/EngineSpeeds.h"
#include "lavenderpick/Forward/GracefulShutdown.h"
#include "lavenderpick/Forward/LoadLedger.h"
#include "lavenderpick/Forward/Placer.h"
#include "lavenderpick/Forward/PromptQuarantine.h"
#include "lavenderpick/Forward/RequestDialect.h"
#include "lavenderpick/Forward/RetainedPrompts.h"
#include "lavenderpick/Forward/ReturnTime.h"
#include "lavenderpick/Forward/ScarceCapacity.h"
#include "lavenderpick/Forward/SlowestRequests.h"
#include "lavenderpick/Forward/SpareEngines.h"
#include "lavenderpick/Forward/StalledStreamDetector.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"
#include "lavenderpick/Forward/UpstreamRateLimits.h"
#include "lavenderpick/Forward/UpstreamSubset.h"
#include "lavenderpick/Forward/WindowedRetryBudget.h"
#include "lavenderpick/Retry/OutlierDetector.h"

#include <memory>
#include <set>

namespace Lavenderpick {

/// Receives this gateway's placement events, to pass them on to peers.
class PlacementObserver
{
public:
    virtual ~PlacementObserver() = default;

    virtual void placed(const PlacementKey &key, const Placement &placement) = 0;
    virtual void promptPrefilled(const PlacementKey &key) = 0;
    virtual void placementEnded(const PlacementKey &key) = 0;
};

/// State shared by all requests of a gateway. Used on the event loop only.
struct GatewayState
{
    GatewayState(asio::io_context &contextToUse, const Clock &clockToRead, Random &randomToUse,
                 const RequestDialect &dialectToUse, GatewaySettings settingsToUse);

    asio::io_context &context;
    const Clock &clock;
    Random &random;
    const RequestDialect &dialect;
    GatewaySettings settings;

    std::shared_ptr<const ServingConfiguration> configuration; ///< Null until received.
    std::int64_t configurationRevision { 0 };
    UpstreamDirectory upstreams;
    UpstreamSubset subset;
    SpareEngines spareEngines;
    LoadLedger ledger;
    Placer placer;
    EngineSpeeds engineSpeeds; ///< Used only if `learnsEngineSpeeds`.
    WindowedRetryBudget retryBudget;
    OutlierDetector outliers;
    PromptQuarantine quarantine;
    UpstreamRateLimits rateLimits;
    RetainedPrompts retainedPrompts;
    ColdUpstreams coldUpstreams;
    StalledStreamDetector stalledStreams;
    GracefulShutdown stop;
    SlowestRequests slowestRequests;
    UpstreamConnectionPool pool;
    ScarceCapacity scarceCapacity; ///< Used only if `isFair`.
    WaitingRequests waiting;
    EngineCalls engineCalls;
    Metrics metrics;
    EvacuationUpdates evacuations;
    PlacementObserver *placementObserver { nullptr };

    std::uint64_t lastPlacementNumber { 0 };
    std::uint64_t lastStreamNumber { 0 };
    std::size_t openRequests { 0 };
    std::size_t bufferedBytes { 0 }; ///< Request bodies held by all connections.
    bool hasUpstreamList { false };  ///< A complete list has been received.
    bool peerIsReady { false };      ///< Another gateway accepts callers.
    TimePoint startedAt;

    /// Whether the load balancer may send callers to this gateway.
    bool isReady() const { return !stop.isStopping() && configuration && hasUpstreamList; }

    bool learnsEngineSpeeds() const { return settings.engineSpeed == EngineSpeedSource::Learned; }

    /// Events of a stream arrived.
    void recordEngineEvents(const UpstreamRecord &upstream, const EngineParameters &engine,
                            EngineSpeeds::Stream &stream, std::size_t events);

    /// Logs and counts the engines that became slow or are no longer slow.
    void updateEngineSpeeds();

    bool isFair() const { return settings.queueOrder == QueueOrder::Fair; }

    /// Why `configuration` is null.
    MissingConfiguration missingConfiguration() const;

    /// Upper limit of `bufferedBytes`.
    std::size_t maximumBufferedBytes() const;

    /// Output pending for one slow caller, in bytes, above which reading from the upstream pauses.
    std::size_t maximumPendingResponse() const;

    /// Maximum number of connections from all gateways to one upstream of the service; zero for no
    /// limit.
    int maximumConnections(const std::string &service) const;

    /// Ready upstreams of the service whose limits allow no further request now.
    std::set<std::string> upstreamsAtLimit(const std::string &service) const;

    /// Puts the limits of upstreams that became cold or warm into force. Called after each change
    /// to `coldUpstreams`, before the next request is placed.
    void applyColdChanges();

    /// The evacuation of a zone has ended: its upstreams start under traffic.
    void recordZoneReturned(const std::string &zone);

    /// Whether the limit that the upstream names and that of a cold upstream allow a request now.
    bool mayUse(const UpstreamRecord &record) const;

    /// Records what a response of this upstream's process says of it.
    void recordNotices(const UpstreamRecord &upstream, const ResponseHead &response);

    /// Whether the service has a ready upstream in this gateway's availability zone.
    bool isServedInOwnZone(const std::string &service) const;

    /// Returns a connection to the pool for reuse; abandons it if the upstream is no longer listed.
    void keepConnection(const std::string &upstream, std::shared_ptr<HttpConnection> connection);

    /// Records the placement of any gateway.
    void recordPlacement(const PlacementKey &key, Placement placement);

    PlacementKey beginPlacement(const Placement &placement);
    void markPrefilled(const PlacementKey &key);
    void endPlacement(const PlacementKey &key);
};

} // namespace Lavenderpick
