#include "Services/Gateway/PeerExchange.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

constexpr std::size_t maximumDatagramBytes = 65'507;
// From this number on, collected events are sent on the next turn of the event loop, so that they
// fit in one packet.
constexpr std::size_t eventFlushThreshold = 8;
constexpr Duration fetchTimeout { Milliseconds(800) };

// Event types: the first element of each event.
constexpr int placedEvent = 1;
constexpr int promptPrefilledEvent = 2;
constexpr int endedEvent = 3;

} // namespace

/// Fetches the configuration and the upstreams of one peer.
class PeerExchange::ConfigurationFetch : public ResponseListener
{
public:
    ConfigurationFetch(PeerExchange &owner, const std::string &address)
        : m_owner(owner)
        , m_address(address)
        , m_connection(std::make_shared<HttpConnection>(owner.m_state.context, owner.m_state.clock,
                                                        address))
    { }
    ~ConfigurationFetch() override { m_connection->abandon(); }

    void send()
    {
        std::string head = "GET /configuration HTTP/1.1\r\n";
        appendField("Host", m_address, head);
        appendField("Connection", "close", head);
        head += "\r\n";
        m_connection->send(std::move(head), nullptr, false, *this);
    }

    void checkTimeouts(TimePoint now)
    {
        m_connection->checkTimeouts(now, fetchTimeout, fetchTimeout);
    }

    bool isDone() const { return m_done; }

    void headArrived(const ResponseHead &head) override { m_status = head.status; }
    void bodyArrived(std::string_view bytes) override { m_body.append(bytes); }

    void responseEnded() override
    {
        m_done = true;
        try {
            if (m_status != 200)
                throw Error(ErrorKind::NotFound,
                            "configuration request failed with status " + std::to_string(m_status),
                            "Wait until the peer holds a configuration.");
            const nlohmann::json json = parseJson(m_body, "configuration of a peer");
            const ConfigurationSnapshot snapshot { .revision = requireInteger(json, "revision"),
                                                   .text = requireString(json, "text") };
            std::vector<UpstreamRecord> upstreams;
            for (const nlohmann::json &upstream : requireArray(json, "upstreams"))
                upstreams.push_back(UpstreamRecord::parse(upstream));
            log(LogLevel::Info, "peers", "configuration fetched from a peer",
                { { "peer", m_address }, { "revision", snapshot.revision } });
            m_owner.m_servingStateHandler(snapshot, upstreams);
        } catch (const Error &error) {
            log(LogLevel::Warning, "peers", error.what(), { { "peer", m_address } });
        }
    }

    void requestFailed(ConnectionFailure failure) override
    {
        m_done = true;
        log(LogLevel::Warning, "peers", "a peer's configuration could not be fetched",
            { { "peer", m_address }, { "failure", toString(failure) } });
    }

private:
    PeerExchange &m_owner;
    std::string m_address;
    std::shared_ptr<HttpConnection> m_connection;
    std::string m_body;
    int m_status { 0 };
    bool m_done { false };
};

PeerExchange::PeerExchange(GatewayState &state)
    : m_state(state)
    , m_socket(state.context)
    , m_receiveBuffer(maximumDatagramBytes)
    , m_ownIncarnation(newIdentifier(state.random, "g"))
    , m_pendingEvents(nlohmann::json::array())
{ }

PeerExchange::~PeerExchange() = default;

void PeerExchange::start(ServingStateHandler handler)
{
    m_servingStateHandler = std::move(handler);
    const asio::ip::tcp::endpoint address = parseEndpoint(m_state.settings.peerAddress);
    m_socket.open(asio::ip::udp::v4());
    m_socket.bind({ address.address(), address.port() });
    m_socket.non_blocking(true);
    addSeeds();
    receive();
}

void PeerExchange::addSeeds()
{
    // A seed names another port of its VM; all gateways use the same port for peers.
    const auto port = parseEndpoint(m_state.settings.peerAddress).port();
    for (const std::string &seed : m_state.settings.seeds)
        addPeer(parseEndpoint(seed).address().to_string() + ":" + std::to_string(port));
}

void PeerExchange::addPeer(const std::string &address)
{
    if (address != m_state.settings.peerAddress)
        m_peerAddresses.insert(address);
}

void PeerExchange::setMembers(const std::vector<std::string> &addresses)
{
    m_peerAddresses.clear();
    for (const std::string &address : addresses)
        addPeer(address);
    addSeeds();
}

void PeerExchange::receive()
{
    m_socket.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code &error) {
        if (error)
            return;
        asio::error_code failure;
        while (true) {
            const std::size_t size = m_socket.receive_from(asio::buffer(m_receiveBuffer),
                                                           m_senderEndpoint, 0, failure);
            if (failure)
                break;
            const std::string sender = m_senderEndpoint.address().to_string() + ":"
                    + std::to_string(m_senderEndpoint.port());
            try {
                handleMessage(parseJson({ m_receiveBuffer.data(), size }, "datagram"), sender);
            } catch (const Error &malformed) {
                m_state.metrics.increment("lavenderpick_bad_datagrams_total");
                log(LogLevel::Info, "peers", malformed.what(), { { "peer", sender } });
            }
        }
        receive();
    });
}

void PeerExchange::handleMessage(const nlohmann::json &message, const std::string &sender)
{
    const std::string gateway = requireString(message, "gateway");
    const std::string incarnation = requireString(message, "incarnation");
    if (gateway == m_state.settings.name)
        return;
    addPeer(sender);
    PeerState &peer = m_peerStates[gateway];
    if (peer.incarnation != incarnation) {
        m_state.ledger.forgetGateway(gateway, m_state.clock.now());
        peer.incarnation = incarnation;
        sendOpenPlacements(sender);
    }
    // Gateways of the previous version don't send this field; most running gateways are ready.
    peer.ready = optionalBool(message, "ready", true);
    peer.lastMessageAt = m_state.clock.now();
    for (const nlohmann::json &event : requireArray(message, "events"))
        applyEvent(gateway, event);
    if (requireInteger(message, "revision") > m_state.configurationRevision)
        fetchConfiguration(sender);
}

void PeerExchange::applyEvent(const std::string &gateway, const nlohmann::json &event)
{
    const TimePoint now = m_state.clock.now();
    try {
        const PlacementKey key { .gateway = gateway, .number = event.at(1).get<std::uint64_t>() };
        switch (event.at(0).get<int>()) {
        case promptPrefilledEvent:
            m_state.ledger.markPrefilled(key, now);
            return;
        case endedEvent:
            m_state.ledger.end(key, now);
            return;
        case placedEvent:
            break;
        default:
            return; // Newer versions may send other types.
        }
        Placement placement {
            .size = { .promptTokens = event.at(2).get<std::int64_t>(),
                      .maximumOutputTokens = event.at(3).get<std::int64_t>() },
            .gapObjective = Milliseconds(event.at(4).get<std::int64_t>()),
            .firstEventDue = now + Milliseconds(event.at(5).get<std::int64_t>()),
            .expires = now + Milliseconds(event.at(6).get<std::int64_t>()),
        };
        for (const nlohmann::json &part : event.at(7))
            placement.parts.push_back({ .upstream = part.at(0).get<std::string>(),
                                        .prefillMs = part.at(1).get<double>(),
                                        .kvCacheTokens = part.at(2).get<std::int64_t>(),
                                        .decodes = placement.parts.empty() });
        m_state.ledger.begin(key, placement, now);
    } catch (const nlohmann::json::exception &error) {
        throw Error(ErrorKind::InvalidMessage, std::string("malformed event: ") + error.what(),
                    "Run the same version on all gateways.");
    }
}

void PeerExchange::sendOpenPlacements(const std::string &peer)
{
    nlohmann::json events = nlohmann::json::array();
    for (const LoadLedger::OpenPlacement &open :
         m_state.ledger.openPlacements(m_state.settings.name)) {
        events.push_back(encodePlacedEvent(open.key, open.placement));
        if (open.prefilled)
            events.push_back({ promptPrefilledEvent, open.key.number });
        if (events.size() < eventFlushThreshold)
            continue;
        sendTo(peer, encodeDatagram(events));
        events = nlohmann::json::array();
    }
    if (!events.empty())
        sendTo(peer, encodeDatagram(events));
}

nlohmann::json PeerExchange::encodePlacedEvent(const PlacementKey &key,
                                               const Placement &placement) const
{
    const TimePoint now = m_state.clock.now();
    nlohmann::json parts = nlohmann::json::array();
    for (const PlacedPart &part : placement.parts)
        parts.push_back(
                { part.upstream, static_cast<std::int64_t>(part.prefillMs), part.kvCacheTokens });
    return { placedEvent,
             key.number,
             placement.size.promptTokens,
             placement.size.maximumOutputTokens,
             toMilliseconds(placement.gapObjective),
             toMilliseconds(placement.firstEventDue - now),
             toMilliseconds(placement.expires - now),
             std::move(parts) };
}

void PeerExchange::placed(const PlacementKey &key, const Placement &placement)
{
    enqueue(encodePlacedEvent(key, placement));
}

void PeerExchange::promptPrefilled(const PlacementKey &key)
{
    enqueue({ promptPrefilledEvent, key.number });
}

void PeerExchange::placementEnded(const PlacementKey &key)
{
    enqueue({ endedEvent, key.number });
}

bool PeerExchange::hasReadyPeer(TimePoint now) const
{
    // Tolerates the loss of one heartbeat.
    return std::any_of(m_peerStates.begin(), m_peerStates.end(), [now](const auto &entry) {
        return entry.second.ready
                && now - entry.second.lastMessageAt <= 2 * heartbeatInterval + flushInterval;
    });
}

void PeerExchange::enqueue(nlohmann::json event)
{
    const bool urgent = event.at(0) == placedEvent;
    m_pendingEvents.push_back(std::move(event));
    if ((!urgent && m_pendingEvents.size() < eventFlushThreshold) || m_flushPosted)
        return;
    m_flushPosted = true;
    asio::post(m_state.context, [this] {
        m_flushPosted = false;
        flush(m_state.clock.now());
    });
}

void PeerExchange::stateChanged()
{
    m_nextHeartbeatAt = {};
    flush(m_state.clock.now());
}

void PeerExchange::sweep(TimePoint now)
{
    if (m_configurationFetch) {
        m_configurationFetch->checkTimeouts(now);
        if (m_configurationFetch->isDone())
            m_configurationFetch.reset();
    }
    if (!m_pendingEvents.empty() || now >= m_nextHeartbeatAt)
        flush(now);
}

void PeerExchange::flush(TimePoint now)
{
    if (!m_socket.is_open())
        return;
    m_nextHeartbeatAt = now + heartbeatInterval;
    const std::string bytes = encodeDatagram(m_pendingEvents);
    m_pendingEvents = nlohmann::json::array();
    for (const std::string &peer : m_peerAddresses)
        sendTo(peer, bytes);
}

std::string PeerExchange::encodeDatagram(const nlohmann::json &events) const
{
    return nlohmann::json {
        { "gateway", m_state.settings.name },
        { "incarnation", m_ownIncarnation },
        { "revision", m_state.configurationRevision },
        { "ready", m_state.isReady() },
        { "events", events }
    }.dump();
}

void PeerExchange::sendTo(const std::string &peer, const std::string &bytes)
{
    try {
        const asio::ip::tcp::endpoint address = parseEndpoint(peer);
        asio::error_code error;
        m_socket.send_to(asio::buffer(bytes), { address.address(), address.port() }, 0, error);
        if (error)
            m_state.metrics.increment("lavenderpick_datagrams_unsent_total");
    } catch (const Error &error) {
        log(LogLevel::Warning, "peers", error.what());
    }
}

void PeerExchange::fetchConfiguration(const std::string &address)
{
    if (m_configurationFetch && !m_configurationFetch->isDone())
        return;
    m_configurationFetch = std::make_shared<ConfigurationFetch>(*this, address);
    m_configurationFetch->send();
}

} // namespace Lavenderpick
