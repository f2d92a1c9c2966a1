#pragma once

#include "Services/Gateway/GatewayState.h"
#include "Services/Gateway/HttpConnection.h"
#include "lavenderpick/Forward/PlacementMessage.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

/// Sends this gateway's placements and what it read from the store to its peers by UDP, applies
/// theirs, and fetches a newer configuration from a peer over HTTP while the store is away.
///
/// Lost datagrams are tolerated: a placement expires by itself, and reports are sent again with
/// every heartbeat.
class PeerExchange : public PlacementObserver
{
public:
    /// Time for which events are collected, so that a burst fits in few datagrams. New placements
    /// don't wait for it.
    static constexpr Duration flushInterval { Milliseconds(50) };
    static constexpr Duration heartbeatInterval { Milliseconds(500) };
    /// Of a gateway that reads the store for its peers.
    static constexpr Duration readerHeartbeatInterval { Milliseconds(250) };

    /// Receives the configuration of a peer and the upstreams that the peer knows.
    using ServingStateHandler =
            std::function<void(const ConfigurationSnapshot &, const std::vector<UpstreamRecord> &)>;

    PeerExchange(GatewayState &state, ControlPlaneSource &source);
    ~PeerExchange() override;

    /// `wantsConfiguration` tells whether a configuration of this revision is worth fetching.
    void start(ServingStateHandler handler,
               std::function<bool(std::int64_t revision)> wantsConfiguration);

    /// Replaces the registered gateways; the seeds stay known.
    void setRegistered(const std::vector<GatewayRecord> &gateways);

    /// Whether each availability zone has enough engines for the requests of its own gateways.
    void setZonesServeThemselves(bool serve);

    /// Sends changes that this gateway read from the store to the peers that rely on it.
    void sendChanges(const UpstreamChangeSet &changes);

    /// Sends a heartbeat now. Called when the revision or an evacuation changes, and when this
    /// gateway becomes ready or begins to stop.
    void stateChanged();

    /// Whether the store can't be reached; peers then supply the configuration.
    void setStoreLost(bool lost) { m_storeLost = lost; }

    /// Reports what is quarantined with the next sweep. Called when it changes.
    void quarantineChanged() { m_nextHeldReportAt = {}; }

    /// Gateways that share placements, this one included.
    std::size_t groupSize() const { return m_group.size() + 1; }

    const PeerDirectory &directory() const { return m_directory; }

    void sweep(TimePoint now);

    void placed(const PlacementKey &key, const Placement &placement) override;
    void promptPrefilled(const PlacementKey &key) override;
    void placementEnded(const PlacementKey &key) override;

private:
    class ConfigurationFetch;
    using Endpoint = asio::ip::udp::endpoint;

    /// Peers by the form in which they read placement events.
    struct EventReceivers
    {
        std::vector<Endpoint> compact;
        std::vector<Endpoint> json;
    };

    void addSeeds();
    void updateGroup(TimePoint now);
    bool isReader() const { return m_role == FeedRole::Reader; }
    std::vector<Endpoint> resolve(const std::vector<std::string> &addresses);
    EventReceivers eventReceivers(const std::vector<std::string> &addresses);
    void receive();
    const std::string &senderAddress();
    void handleDatagram(std::string_view datagram, const std::string &sender);
    void handlePlacements(std::string_view datagram, const std::string &sender);
    void handleMessage(const nlohmann::json &message, const std::string &sender);
    bool recordSender(const PeerReport &report, const std::string &sender, TimePoint now);
    void handleRateLimits(const nlohmann::json &message, TimePoint now);
    void handleRevision(std::int64_t revision, const std::string &sender, TimePoint now);
    void handleEvacuations(const nlohmann::json &message);
    void handleChanges(const nlohmann::json &message, TimePoint now);
    void handlePrompts(const nlohmann::json &message, std::string_view zone, TimePoint now);
    void applyEvent(PlacementKey &key, PlacementEvent &event, TimePoint now);
    std::set<std::string> otherZones(const Placement &placement) const;
    void enqueue(PlacementEvent event);
    void flush(TimePoint now);
    void sendHeartbeat(TimePoint now);
    void addEvacuations(nlohmann::json &datagram) const;
    void sendQuarantineNews(TimePoint now);
    void sendRateLimits(TimePoint now);
    void reportToOtherZones(TimePoint now);
    std::vector<std::string> spareEngines(TimePoint now) const;
    void sendOpenPlacements(const std::string &peer);
    std::optional<Duration> storeResponseAge(TimePoint now) const;
    nlohmann::json makeDatagram(nlohmann::json events) const;
    void sendEvents(const EventReceivers &receivers, std::span<const PlacementEvent> events,
                    TimePoint now);
    void sendTo(const std::vector<Endpoint> &endpoints, const nlohmann::json &datagram);
    void sendBytes(const std::vector<Endpoint> &endpoints, const std::string &bytes);
    void fetchConfiguration(const std::string &address);

    GatewayState &m_state;
    ControlPlaneSource &m_source;
    asio::ip::udp::socket m_socket;
    Endpoint m_senderEndpoint;
    std::vector<char> m_receiveBuffer;
    PeerDirectory m_directory;
    std::map<std::string, Endpoint> m_endpoints; ///< By address; parsed once.
    std::map<Endpoint, std::string> m_senderAddresses;
    std::vector<Endpoint> m_group;   ///< Receives this gateway's events.
    EventReceivers m_eventReceivers; ///< The same peers.
    std::string m_ownIncarnation;
    std::vector<PlacementEvent> m_pendingEvents;
    PlacementMessage m_receivedPlacements; ///< A member, so that its storage is reused.
    /// Events for the gateways of other zones, at whose engines this gateway placed requests.
    std::map<std::string, std::vector<PlacementEvent>> m_pendingEventsByZone;
    std::map<std::uint64_t, std::set<std::string>> m_otherZonesByPlacement;
    TimePoint m_nextHeartbeatAt {};
    TimePoint m_nextGroupUpdateAt {};
    TimePoint m_nextZoneReportAt {};
    TimePoint m_nextHeldReportAt {};
    TimePoint m_nextEvacuationReportAt {};
    TimePoint m_newerRevisionSince {}; ///< Since when a peer has a newer configuration.
    FeedRole m_role { FeedRole::Alone };
    bool m_storeLost { false };
    bool m_flushPosted { false };
    ServingStateHandler m_servingStateHandler;
    std::function<bool(std::int64_t revision)> m_wantsConfiguration;
    std::shared_ptr<ConfigurationFetch> m_configurationFetch;
};

} // namespace Lavenderpick
