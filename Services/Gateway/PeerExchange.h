#pragma once

#include "Services/Gateway/GatewayState.h"
#include "Services/Gateway/HttpConnection.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace Lavenderpick {

/// Sends this gateway's placements and configuration revision to its peers by UDP, applies theirs,
/// and fetches a newer configuration from a peer over HTTP.
///
/// Lost datagrams are tolerated: a placement expires by itself, and the revision is sent again
/// every `heartbeatInterval`.
class PeerExchange : public PlacementObserver
{
public:
    /// Time for which events are collected, so that a burst fits in few datagrams. New placements
    /// don't wait for it.
    static constexpr Duration flushInterval { Milliseconds(50) };
    static constexpr Duration heartbeatInterval { Milliseconds(500) };

    /// Receives the configuration of a peer and the upstreams that the peer knows.
    using ServingStateHandler =
            std::function<void(const ConfigurationSnapshot &, const std::vector<UpstreamRecord> &)>;

    explicit PeerExchange(GatewayState &state);
    ~PeerExchange() override;

    void start(ServingStateHandler handler);

    /// Replaces all peer addresses by those that the store lists and the seeds.
    void setMembers(const std::vector<std::string> &addresses);

    /// Sends a heartbeat now. Called when the revision changes, and when this gateway becomes ready
    /// or begins to stop.
    void stateChanged();

    /// Whether a peer that sent a datagram recently is ready for callers.
    bool hasReadyPeer(TimePoint now) const;

    /// Number of known gateways, including this one.
    std::size_t gatewayCount() const { return m_peerAddresses.size() + 1; }

    void sweep(TimePoint now);

    void placed(const PlacementKey &key, const Placement &placement) override;
    void promptPrefilled(const PlacementKey &key) override;
    void placementEnded(const PlacementKey &key) override;

private:
    class ConfigurationFetch;

    /// What a peer's last datagram said of the peer.
    struct PeerState
    {
        std::string incarnation;
        bool ready { false };
        TimePoint lastMessageAt {};
    };

    void addPeer(const std::string &address);
    void addSeeds();
    void receive();
    void handleMessage(const nlohmann::json &message, const std::string &sender);
    void applyEvent(const std::string &gateway, const nlohmann::json &event);
    void enqueue(nlohmann::json event);
    void flush(TimePoint now);
    void sendOpenPlacements(const std::string &peer);
    nlohmann::json encodePlacedEvent(const PlacementKey &key, const Placement &placement) const;
    std::string encodeDatagram(const nlohmann::json &events) const;
    void sendTo(const std::string &peer, const std::string &bytes);
    void fetchConfiguration(const std::string &address);

    GatewayState &m_state;
    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_senderEndpoint;
    std::vector<char> m_receiveBuffer;
    std::set<std::string> m_peerAddresses;         ///< Excludes this gateway's own.
    std::map<std::string, PeerState> m_peerStates; ///< By gateway name.
    std::string m_ownIncarnation;
    nlohmann::json m_pendingEvents;
    TimePoint m_nextHeartbeatAt {};
    bool m_flushPosted { false };
    ServingStateHandler m_servingStateHandler;
    std::shared_ptr<ConfigurationFetch> m_configurationFetch;
};

} // namespace Lavenderpick
