#include "lavenderpick/Forward/PeerDirectory.h"

#include <algorithm>
#include <xxhash.h>

namespace Lavenderpick {

namespace {

/// The gateways with the lowest ranks read the store. A hash spreads them over the VMs alike for
/// all gateways that know the same peers.
std::uint64_t readerRank(const std::string &gateway)
{
    return XXH3_64bits(gateway.data(), gateway.size());
}

} // namespace

PeerDirectory::Peer &PeerDirectory::peerAt(const std::string &address, TimePoint now)
{
    const auto [entry, added] = m_peers.try_emplace(address);
    if (added)
        entry->second.addedAt = now;
    return entry->second;
}

void PeerDirectory::setRegistered(const std::vector<GatewayRecord> &records, TimePoint now)
{
    m_firstListedAt = m_firstListedAt.value_or(now);
    m_lastListedAt = now;
    for (auto &[address, peer] : m_peers)
        peer.registered = false;
    for (const GatewayRecord &record : records) {
        if (record.address == m_ownAddress)
            continue;
        Peer &peer = peerAt(record.address, now);
        peer.registered = true;
        if (!record.availabilityZone.empty())
            peer.availabilityZone = record.availabilityZone;
    }
    std::erase_if(m_peers, [now](const auto &entry) {
        return !entry.second.registered && isSilent(entry.second, now);
    });
}

void PeerDirectory::addSeed(const std::string &address, TimePoint now)
{
    if (address != m_ownAddress)
        peerAt(address, now);
}

bool PeerDirectory::recordReport(const PeerReport &report, const std::string &address,
                                 TimePoint now)
{
    Peer &peer = peerAt(address, now);
    const bool isNew = peer.incarnation != report.incarnation;
    peer.name = report.gateway;
    peer.incarnation = report.incarnation;
    peer.availabilityZone = report.availabilityZone;
    peer.ready = report.ready;
    peer.groupsByZone = report.groupsByZone;
    peer.compact = report.compact;
    peer.lastHeardAt = now;
    return isNew;
}

bool PeerDirectory::groupsAreZones() const
{
    return m_zonesServeThemselves && gatewayCount() > maximumCommonGroup;
}

bool PeerDirectory::isInGroup(const Peer &peer) const
{
    return !groupsAreZones() || peer.availabilityZone.empty() || peer.availabilityZone == m_ownZone
            || !peer.groupsByZone;
}

bool PeerDirectory::isAlive(const Peer &peer, TimePoint now)
{
    return peer.lastHeardAt != TimePoint {} && now - peer.lastHeardAt <= aliveTimeout;
}

bool PeerDirectory::isSilent(const Peer &peer, TimePoint now)
{
    return now - std::max(peer.addedAt, peer.lastHeardAt) > silenceTimeout;
}

std::vector<std::string> PeerDirectory::groupAddresses(TimePoint now) const
{
    std::vector<std::string> addresses;
    for (const auto &[address, peer] : m_peers) {
        if (isInGroup(peer) && !isSilent(peer, now))
            addresses.push_back(address);
    }
    return addresses;
}

std::vector<std::string> PeerDirectory::zoneAddresses(const std::string &zone, TimePoint now) const
{
    // Gateways of other zones are not heard from, so silence says nothing about them.
    std::vector<std::string> addresses;
    for (const auto &[address, peer] : m_peers) {
        if (peer.availabilityZone == zone && (!isInGroup(peer) || !isSilent(peer, now)))
            addresses.push_back(address);
    }
    return addresses;
}

std::vector<std::string> PeerDirectory::otherZoneAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[address, peer] : m_peers) {
        if (!peer.availabilityZone.empty() && peer.availabilityZone != m_ownZone)
            addresses.push_back(address);
    }
    return addresses;
}

std::vector<std::string> PeerDirectory::takeDueProbes(TimePoint now)
{
    std::vector<std::string> addresses;
    for (auto &[address, peer] : m_peers) {
        if (!isInGroup(peer) || !isSilent(peer, now) || now - peer.lastProbeAt < probeInterval)
            continue;
        peer.lastProbeAt = now;
        addresses.push_back(address);
    }
    return addresses;
}

FeedRole PeerDirectory::role(bool ownReady, TimePoint now) const
{
    const std::uint64_t ownRank = readerRank(m_ownName);
    std::size_t alive = 1;
    std::size_t readersBefore = 0;
    for (const auto &[address, peer] : m_peers) {
        if (!isInGroup(peer) || !isAlive(peer, now))
            continue;
        ++alive;
        if (peer.ready && (!ownReady || readerRank(peer.name) < ownRank))
            ++readersBefore;
    }
    if (alive < minimumGroupWithReaders)
        return FeedRole::Alone;
    return readersBefore < readersPerGroup ? FeedRole::Reader : FeedRole::Follower;
}

bool PeerDirectory::isInGroup(const std::string &address) const
{
    const auto peer = m_peers.find(address);
    return peer != m_peers.end() && isInGroup(peer->second);
}

bool PeerDirectory::readsCompact(const std::string &address) const
{
    const auto peer = m_peers.find(address);
    return peer != m_peers.end() && peer->second.compact;
}

double PeerDirectory::aliveShare(TimePoint now) const
{
    std::size_t known = 1;
    std::size_t alive = 1;
    for (const auto &[address, peer] : m_peers) {
        if (!isInGroup(peer) || isSilent(peer, now))
            continue;
        ++known;
        alive += isAlive(peer, now) ? 1 : 0;
    }
    return static_cast<double>(alive) / static_cast<double>(known);
}

GatewayCensus PeerDirectory::census() const
{
    GatewayCensus census { .count = gatewayCount() };
    census.rank = static_cast<std::size_t>(
            std::distance(m_peers.begin(), m_peers.lower_bound(m_ownAddress)));
    if (!m_firstListedAt)
        return census;
    census.state = m_lastListedAt - *m_firstListedAt >= registrationTime
            ? GatewayCensus::State::Complete
            : GatewayCensus::State::Settling;
    return census;
}

bool PeerDirectory::hasReadyPeer(TimePoint now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [now](const auto &entry) {
        const Peer &peer = entry.second;
        return peer.ready && now - peer.lastHeardAt <= readyTimeout;
    });
}

} // namespace Lavenderpick
