#pragma once

#include "lavenderpick/Forward/FeedSchedule.h"
#include "lavenderpick/Forward/GatewayShare.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

/// A gateway as registered in the store.
struct GatewayRecord
{
    std::string address;          ///< `host:port` for peers.
    std::string availabilityZone; ///< Empty if unknown.

    bool operator==(const GatewayRecord &) const = default;
};

/// What a datagram says of its sender. Its texts are parts of the datagram.
struct PeerReport
{
    std::string_view gateway;     ///< Name of the sender.
    std::string_view incarnation; ///< Differs for another process of the same name.
    std::string_view availabilityZone;
    bool ready { false };
    /// Whether the sender groups gateways by zone, and so places at engines of its zone only.
    bool groupsByZone { false };
    bool compact { false }; ///< Whether the sender reads `PlacementMessage`.

    bool operator==(const PeerReport &) const = default;
};

/// The other gateways: which are alive, which share placements and the store's news with this one,
/// and which of them read the store for the others. Not safe for concurrent use.
///
/// Up to `maximumCommonGroup` gateways form one group. With more of them, datagrams from each to
/// each would use up small VMs, so the gateways of each availability zone form a group, provided
/// that each zone has enough engines of its own (`setZonesServeThemselves`). Gateways may count
/// differently for a while; one that does not group by zone yet belongs to the groups of all zones,
/// since it may place at their engines.
class PeerDirectory
{
public:
    static constexpr std::size_t maximumCommonGroup = 64;
    /// Below this number of gateways in a group, each reads the store itself.
    static constexpr std::size_t minimumGroupWithReaders = 8;
    /// One: until another takes over, the others read for themselves (`FeedSchedule`).
    static constexpr std::size_t readersPerGroup = 1;
    /// A peer that was silent for this long counts as stopped; tolerates two lost heartbeats.
    static constexpr Duration aliveTimeout { Milliseconds(1'800) };
    /// A ready peer that was silent for this long may have stopped; tolerates one lost heartbeat.
    static constexpr Duration readyTimeout { Milliseconds(1'050) };
    /// Events are sent to a silent peer for this long. After that it gets a heartbeat every
    /// `probeInterval`, so that both notice when a partition ends.
    static constexpr Duration silenceTimeout { Seconds(10) };
    static constexpr Duration probeInterval { Seconds(5) };
    /// Gateways that start together have all registered when the list is read so long after the
    /// first time.
    static constexpr Duration registrationTime { Seconds(3) };

    PeerDirectory(std::string ownName, std::string ownAddress, std::string ownZone)
        : m_ownName(std::move(ownName))
        , m_ownAddress(std::move(ownAddress))
        , m_ownZone(std::move(ownZone))
    { }

    /// Replaces the registered gateways. Peers heard from recently stay known.
    void setRegistered(const std::vector<GatewayRecord> &records, TimePoint now);

    /// Adds an address from the settings, whose zone is not known.
    void addSeed(const std::string &address, TimePoint now);

    /// Records a datagram. Returns whether its sender is a process that was not known.
    bool recordReport(const PeerReport &report, const std::string &address, TimePoint now);

    /// Whether each availability zone has enough engines for the requests of its own gateways.
    void setZonesServeThemselves(bool serve) { m_zonesServeThemselves = serve; }

    /// Whether groups are availability zones.
    bool groupsAreZones() const;

    /// The addresses of the group's gateways that get events, this one excluded.
    std::vector<std::string> groupAddresses(TimePoint now) const;

    /// The addresses of the gateways in a zone that get events, this one excluded.
    std::vector<std::string> zoneAddresses(const std::string &zone, TimePoint now) const;

    /// The addresses of the gateways in all other zones.
    std::vector<std::string> otherZoneAddresses() const;

    /// The addresses of silent gateways in the group that are due for a heartbeat; they count as
    /// sent.
    std::vector<std::string> takeDueProbes(TimePoint now);

    /// Whether this gateway reads the store for its group, relies on another, or neither.
    FeedRole role(bool ownReady, TimePoint now) const;

    /// Whether the gateway at this address belongs to this one's group.
    bool isInGroup(const std::string &address) const;

    /// Whether the process at this address reads `PlacementMessage`.
    bool readsCompact(const std::string &address) const;

    /// The share of the group's gateways, this one included, that are alive. Those that have been
    /// silent for `silenceTimeout` don't count.
    double aliveShare(TimePoint now) const;

    /// Whether a live peer is ready for callers.
    bool hasReadyPeer(TimePoint now) const;

    /// Number of known gateways, including this one.
    std::size_t gatewayCount() const { return m_peers.size() + 1; }

    /// The number of all gateways as far as it is known, whether they are heard or not.
    GatewayCensus census() const;

private:
    struct Peer
    {
        std::string name; ///< Empty until heard from.
        std::string incarnation;
        std::string availabilityZone;
        bool ready { false };
        bool groupsByZone { true }; ///< Others send their reports to all gateways.
        bool registered { false };
        bool compact { false };
        TimePoint addedAt {};
        TimePoint lastHeardAt {};
        TimePoint lastProbeAt {};
    };

    bool isInGroup(const Peer &peer) const;
    static bool isAlive(const Peer &peer, TimePoint now);
    static bool isSilent(const Peer &peer, TimePoint now);
    Peer &peerAt(const std::string &address, TimePoint now);

    std::string m_ownName;
    std::string m_ownAddress;
    std::string m_ownZone;
    bool m_zonesServeThemselves { false };
    std::optional<TimePoint> m_firstListedAt {};
    TimePoint m_lastListedAt {};
    std::map<std::string, Peer> m_peers; ///< By address.
};

} // namespace Lavenderpick
