#pragma once

#include "Services/Gateway/GatewaySettings.h"
#include "Services/Gateway/UpstreamPool.h"
#include "Services/Gateway/WaitingRequests.h"
#include "lavenderpick/Base/Metrics.h"
#include "lavenderpick/Forward/ControlPlaneSource.h"
#include "lavenderpick/Forward/GracefulShutdown.h"
#include "lavenderpick/Forward/LoadLedger.h"
#include "lavenderpick/Forward/Placer.h"
#include "lavenderpick/Forward/RequestDialect.h"
#include "lavenderpick/Forward/StalledStreamDetector.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"
#include "lavenderpick/Forward/UpstreamSubset.h"
#include "lavenderpick/Forward/WindowedRetryBudget.h"
#include "lavenderpick/Retry/OutlierDetector.h"

#include <memory>

namespace Lavenderpick {

/// Hears of this gateway's placements, to tell peers.
class PlacementObserver
{
public:
    virtual ~PlacementObserver() = default;

    virtual void placed(const PlacementKey &key, const Placement &placement) = 0;
    virtual void promptRead(const PlacementKey &key) = 0;
    virtual void placementEnded(const PlacementKey &key) = 0;
};

/// What the requests of one gateway share. Used on the event loop only.
struct GatewayState
{
    GatewayState(asio::io_context &contextToUse, const Clock &clockToRead, Random &randomToUse,
                 const RequestDialect &dialectToUse, GatewaySettings settingsToUse);

    asio::io_context &context;
    const Clock &clock;
    Random &random;
    const RequestDialect &dialect;
    GatewaySettings settings;

    std::shared_ptr<const ServingConfiguration> configuration; ///< Null until one was read.
    std::int64_t configurationRevision { 0 };
    UpstreamDirectory upstreams;
    UpstreamSubset subset;
    LoadLedger ledger;
    Placer placer;
    WindowedRetryBudget retries;
    OutlierDetector outliers;
    StalledStreamDetector stalledStreams;
    GracefulShutdown stop;
    UpstreamPool pool;
    WaitingRequests waiting;
    Metrics metrics;
    PlacementObserver *placementObserver { nullptr };

    std::uint64_t lastPlacement { 0 };
    std::uint64_t lastStream { 0 };
    std::size_t openRequests { 0 };
    std::size_t bufferedBytes { 0 }; ///< Of request bodies in all connections.
    bool upstreamsKnown { false };   ///< A whole listing was read.

    /// Whether callers may be sent here.
    bool isReady() const { return !stop.isStopping() && configuration && upstreamsKnown; }

    /// Most bytes of request bodies that are held at once.
    std::size_t maximumBufferedBytes() const;

    /// Connections that an upstream of the service takes from all gateways; zero for no bound.
    int maximumConnections(const std::string &service) const;

    /// Keeps a connection for the next request to the upstream.
    void keepConnection(const std::string &upstream, std::shared_ptr<HttpConnection> connection);

    PlacementKey beginPlacement(const Placement &placement);
    void markPrefilled(const PlacementKey &key);
    void endPlacement(const PlacementKey &key);
};

} // namespace Lavenderpick
