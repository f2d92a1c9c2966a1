#pragma once

#include "Services/Gateway/GatewayState.h"
#include "Services/Gateway/InboundConnection.h"
#include "Services/Gateway/LocalHttpServer.h"
#include "Services/Gateway/PeerExchange.h"
#include "lavenderpick/Forward/ConfigurationLoader.h"
#include "lavenderpick/Forward/ZoneLocality.h"

#include <memory>
#include <set>

namespace Lavenderpick {

/// Runs a gateway: accepts callers, applies updates from the control plane and from peers, and
/// shuts down gracefully.
class GatewayProcess : private ControlPlaneObserver
{
public:
    /// Binds the TCP listeners. Throws `Error` of kind InvalidSettings if an address other than the
    /// one for metrics alone can't be bound.
    GatewayProcess(asio::io_context &context, const Clock &clock, Random &random,
                   const RequestDialect &dialect, ControlPlaneSource &source,
                   GatewaySettings settings, std::string settingsPath);

    ~GatewayProcess() override;

    /// Serves until SIGTERM or SIGINT, then until the load balancer has had time to take this VM
    /// out and no request is open, at most until shortly before the stop grace ends.
    void run();

private:
    void accept();
    void addConnection(asio::ip::tcp::socket socket);
    void scheduleSweep();
    void sweep();
    void waitForSignals();
    void reloadSettings();
    void beginStop();
    void expireUpstreams(TimePoint now);
    void continueStop(TimePoint now);
    void closeListener();
    void reopenListener();
    std::unique_ptr<LocalHttpServer> openMetricsServer();
    LocalResponse metricsResponse(const std::string &target) const;
    LocalResponse peerResponse(const std::string &target);
    std::string encodeServingState() const;

    void configurationRead(ConfigurationSnapshot snapshot) override;
    void upstreamsListed(const std::vector<UpstreamRecord> &records) override;
    void upstreamChanged(const UpstreamChange &change) override;
    void upstreamChangesRead(const UpstreamChangeSet &changes) override;
    void zonesEvacuated(const EvacuationUpdate &update) override;
    void storeReturned(std::int64_t formerEra, std::int64_t era) override;
    void gatewaysListed(const std::vector<GatewayRecord> &gateways) override;
    void storeLost(const std::string &reason) override;
    void storeRegained() override;
    void storeCallFailed() override;
    void storeResponded(TimePoint at) override;

    void postConfigurationStep();
    void continueConfiguration();
    void applyConfiguration(const ConfigurationLoader::Result &result);

    void forgetUpstream(const std::string &id);
    void quarantineChanged(const SuspectedParts &suspicion, bool held);
    void updateZoneLocality();

    asio::io_context &m_context;
    EventLoopTurns &m_turns;
    GatewayState m_state;
    ControlPlaneSource &m_source;
    std::string m_settingsPath;
    asio::ip::tcp::acceptor m_acceptor;
    LocalHttpServer m_readinessServer;
    LocalHttpServer m_peerServer;
    std::unique_ptr<LocalHttpServer> m_metricsServer; ///< Null if not listening.
    PeerExchange m_peerExchange;
    ZoneLocality m_zoneLocality;
    std::uint64_t m_localityGeneration { 0 }; ///< Of the directory that `m_zoneLocality` saw.
    asio::steady_timer m_sweepTimer;
    asio::signal_set m_signals;
    std::set<std::shared_ptr<InboundConnection>> m_connections;
    ConfigurationLoader m_configurationLoader;
    bool m_configurationStepPosted { false };
    bool m_accepting { false };
};

} // namespace Lavenderpick
