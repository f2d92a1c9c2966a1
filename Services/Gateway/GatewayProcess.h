#pragma once

#include "Services/Gateway/GatewayState.h"
#include "Services/Gateway/InboundConnection.h"
#include "Services/Gateway/LocalHttpServer.h"
#include "Services/Gateway/PeerExchange.h"

#include <memory>
#include <set>

namespace Lavenderpick {

/// A gateway: listens for callers, follows the serving source and its peers, and stops in order.
class GatewayProcess : private ControlPlaneObserver
{
public:
    /// Binds all addresses. Throws `Error` of kind InvalidSettings.
    GatewayProcess(asio::io_context &context, const Clock &clock, Random &random,
                   const RequestDialect &dialect, ControlPlaneSource &source,
                   GatewaySettings settings, std::string settingsPath);

    /// Serves until SIGTERM or SIGINT, then until the open requests have ended.
    void run();

private:
    void accept();
    void scheduleSweep();
    void sweep();
    void waitForSignals();
    void reloadSettings();
    void beginStop();
    void continueStop(TimePoint now);
    void closeListener();
    void reopenListener();
    std::unique_ptr<LocalHttpServer> openMetricsServer();
    LocalResponse metricsResponse(const std::string &target) const;
    LocalResponse peerResponse(const std::string &target);
    std::string encodeServingState() const;

    void configurationRead(const ConfigurationSnapshot &snapshot) override;
    void upstreamsListed(const std::vector<UpstreamRecord> &records) override;
    void upstreamChanged(const UpstreamChange &change) override;
    void membersListed(const std::vector<std::string> &addresses) override;
    void storeLost(const std::string &reason) override;
    void storeRegained() override;

    void forgetUpstream(const std::string &id);

    asio::io_context &m_context;
    GatewayState m_state;
    ControlPlaneSource &m_source;
    std::string m_settingsPath;
    asio::ip::tcp::acceptor m_acceptor;
    LocalHttpServer m_readinessServer;
    LocalHttpServer m_peerServer;
    std::unique_ptr<LocalHttpServer> m_metricsServer; ///< Null where there is none.
    PeerExchange m_peerExchange;
    asio::steady_timer m_sweepTimer;
    asio::signal_set m_signals;
    std::set<std::shared_ptr<InboundConnection>> m_connections;
    std::string m_configurationText;
    bool m_accepting { false };
};

} // namespace Lavenderpick
