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

/// Tells other gateways what this one places and which configuration it holds, and fetches a newer
/// configuration from them.
///
/// Datagrams may be lost: a placement expires by itself, and the revision is told again each
/// `helloPeriod`.
class PeerExchange : public PlacementObserver
{
public:
    /// Collects placements, so that a burst fits in few datagrams.
    static constexpr Duration flushInterval { Milliseconds(50) };
    static constexpr Duration heartbeatInterval { Milliseconds(500) };

    /// What a peer serves by: its configuration, and the upstreams that it knows.
    using ServingStateHandler =
            std::function<void(const ConfigurationSnapshot &, const std::vector<UpstreamRecord> &)>;

    explicit PeerExchange(GatewayState &state);
    ~PeerExchange() override;

    void start(ServingStateHandler handler);

    /// Replaces the peers that the store lists; the seeds stay.
    void setMembers(const std::vector<std::string> &addresses);

    /// Tells peers at once of a new revision, or that this gateway became ready or stops.
    void stateChanged();

    /// Whether a peer that was heard of lately takes callers.
    bool hasReadyPeer(TimePoint now) const;

    /// This gateway and all that it knows.
    std::size_t gatewayCount() const { return m_peerAddresses.size() + 1; }

    void sweep(TimePoint now);

    void placed(const PlacementKey &key, const Placement &placement) override;
    void promptPrefilled(const PlacementKey &key) override;
    void placementEnded(const PlacementKey &key) override;

private:
    class ConfigurationFetch;

    /// What a gateway last told of itself.
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
    std::set<std::string> m_peerAddresses;         ///< Addresses, without this gateway's own.
    std::map<std::string, PeerState> m_peerStates; ///< By name.
    std::string m_ownIncarnation;
    nlohmann::json m_pendingEvents;
    TimePoint m_nextHeartbeatAt {};
    bool m_flushPosted { false };
    ServingStateHandler m_servingStateHandler;
    std::shared_ptr<ConfigurationFetch> m_configurationFetch;
};

} // namespace Lavenderpick
