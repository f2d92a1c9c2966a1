#include "Services/Gateway/PeerExchange.h"

#include "Services/Gateway/Endpoint.h"
#include "Services/Gateway/EvacuationMessages.h"
#include "Services/Gateway/QuarantineMessages.h"

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
// A change takes about 170 bytes. Datagrams of one read that overtake each other leave a gap, which
// each follower closes by a call to the store, so few large ones are better than many small ones.
constexpr std::size_t changesPerDatagram = 24;
// A configuration and the records of thousands of upstreams take a few megabytes.
constexpr ResponseLimits fetchLimits { .bodyBytes = 16'777'216, .totalTime = Seconds(5) };
constexpr Duration groupUpdateInterval { Milliseconds(200) };
// Several times the gateways of a large deployment; more come from ports that nobody listens on.
constexpr std::size_t maximumSenderAddresses = 2'048;
// A gateway reads a newer configuration from the store; from a peer only when that takes longer.
constexpr Duration storeReadAllowance { Milliseconds(400) };
// Reports of the same state that one gateway gets with each heartbeat. One is enough for a gateway
// that missed the others, so the gateways of large groups send fewer each.
constexpr std::size_t reportersPerHeartbeat = 8;

nlohmann::json encodeReport(const FeedReport &report)
{
    return { report.newestChange, report.readTo, toMilliseconds(report.age) };
}

FeedReport decodeReport(const nlohmann::json &json)
{
    return { .newestChange = json.at(0).get<std::int64_t>(),
             .readTo = json.at(1).get<std::int64_t>(),
             .age = Milliseconds(json.at(2).get<std::int64_t>()) };
}

nlohmann::json encodeChange(const UpstreamChangeSet::Entry &entry)
{
    return { entry.revision, entry.change.id,
             entry.change.record ? entry.change.record->toJson() : nlohmann::json() };
}

nlohmann::json encodeRateLimit(const RateLimitReport &report)
{
    return { report.upstream, report.limit ? nlohmann::json(*report.limit) : nlohmann::json(),
             toMilliseconds(report.age) };
}

RateLimitReport decodeRateLimit(const nlohmann::json &json)
{
    RateLimitReport report { .upstream = json.at(0).get<std::string>(),
                             .age = Milliseconds(json.at(2).get<std::int64_t>()) };
    if (!json.at(1).is_null())
        report.limit = json.at(1).get<double>();
    return report;
}

UpstreamChangeSet::Entry decodeChange(const nlohmann::json &json)
{
    UpstreamChangeSet::Entry entry { .revision = json.at(0).get<std::int64_t>(),
                                     .change = { .id = json.at(1).get<std::string>() } };
    if (!json.at(2).is_null())
        entry.change.record = UpstreamRecord::parse(json.at(2));
    return entry;
}

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
        m_connection->setLimits(fetchLimits);
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
        const EventLoopTurns::Activity activity(EventLoopTurns::of(m_owner.m_state.context),
                                                "peer_configuration");
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
            const EvacuationUpdate evacuations = decodeEvacuations(json);
            log(LogLevel::Info, "peers", "configuration fetched from a peer",
                { { "peer", m_address }, { "revision", snapshot.revision } });
            m_owner.m_state.evacuations.apply(evacuations, EvacuationUpdates::Source::Peer);
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

PeerExchange::PeerExchange(GatewayState &state, ControlPlaneSource &source)
    : m_state(state)
    , m_source(source)
    , m_socket(state.context)
    , m_receiveBuffer(maximumDatagramBytes)
    , m_directory(state.settings.name, state.settings.peerAddress, state.settings.availabilityZone)
    , m_ownIncarnation(newIdentifier(state.random, "g"))
{ }

PeerExchange::~PeerExchange() = default;

void PeerExchange::start(ServingStateHandler handler,
                         std::function<bool(std::int64_t revision)> wantsConfiguration)
{
    m_servingStateHandler = std::move(handler);
    m_wantsConfiguration = std::move(wantsConfiguration);
    const asio::ip::tcp::endpoint address = parseEndpoint(m_state.settings.peerAddress);
    m_socket.open(asio::ip::udp::v4());
    m_socket.bind({ address.address(), address.port() });
    m_socket.non_blocking(true);
    addSeeds();
    updateGroup(m_state.clock.now());
    receive();
}

void PeerExchange::addSeeds()
{
    // A seed names another port of its VM; all gateways use the same port for peers.
    const auto port = parseEndpoint(m_state.settings.peerAddress).port();
    for (const std::string &seed : m_state.settings.seeds)
        m_directory.addSeed(parseEndpoint(seed).address().to_string() + ":" + std::to_string(port),
                            m_state.clock.now());
}

void PeerExchange::setRegistered(const std::vector<GatewayRecord> &gateways)
{
    const TimePoint now = m_state.clock.now();
    m_directory.setRegistered(gateways, now);
    addSeeds();
    updateGroup(now);
}

void PeerExchange::setZonesServeThemselves(bool serve)
{
    m_directory.setZonesServeThemselves(serve);
    updateGroup(m_state.clock.now());
}

void PeerExchange::updateGroup(TimePoint now)
{
    m_nextGroupUpdateAt = now + groupUpdateInterval;
    const std::vector<std::string> addresses = m_directory.groupAddresses(now);
    m_group = resolve(addresses);
    m_eventReceivers = eventReceivers(addresses);
    m_state.metrics.setGauge("lavenderpick_json_peers", {},
                             static_cast<double>(m_eventReceivers.json.size()));
    const FeedRole role = m_directory.role(m_state.isReady(), now);
    if (role == m_role)
        return;
    m_role = role;
    m_source.setRole(role);
    m_nextHeartbeatAt = {};
    log(LogLevel::Info, "peers", "role of reading the store changed",
        { { "role", toString(role) },
          { "gateways", m_directory.gatewayCount() },
          { "group", m_group.size() } });
}

std::vector<PeerExchange::Endpoint> PeerExchange::resolve(const std::vector<std::string> &addresses)
{
    std::vector<Endpoint> endpoints;
    for (const std::string &address : addresses) {
        const auto known = m_endpoints.find(address);
        if (known != m_endpoints.end()) {
            endpoints.push_back(known->second);
            continue;
        }
        try {
            const asio::ip::tcp::endpoint parsed = parseEndpoint(address);
            endpoints.emplace_back(parsed.address(), parsed.port());
            m_endpoints[address] = endpoints.back();
        } catch (const Error &error) {
            log(LogLevel::Warning, "peers", error.what());
        }
    }
    return endpoints;
}

PeerExchange::EventReceivers PeerExchange::eventReceivers(const std::vector<std::string> &addresses)
{
    std::vector<std::string> compact;
    std::vector<std::string> json;
    for (const std::string &address : addresses)
        (m_directory.readsCompact(address) ? compact : json).push_back(address);
    return { .compact = resolve(compact), .json = resolve(json) };
}

void PeerExchange::receive()
{
    m_socket.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code &error) {
        if (error)
            return;
        const EventLoopTurns::Activity activity(EventLoopTurns::of(m_state.context), "datagrams");
        asio::error_code failure;
        while (true) {
            const std::size_t size = m_socket.receive_from(asio::buffer(m_receiveBuffer),
                                                           m_senderEndpoint, 0, failure);
            if (failure)
                break;
            const std::string &sender = senderAddress();
            try {
                handleDatagram({ m_receiveBuffer.data(), size }, sender);
            } catch (const Error &malformed) {
                m_state.metrics.increment("lavenderpick_bad_datagrams_total");
                log(LogLevel::Info, "peers", malformed.what(), { { "peer", sender } });
            }
        }
        receive();
    });
}

const std::string &PeerExchange::senderAddress()
{
    if (m_senderAddresses.size() >= maximumSenderAddresses)
        m_senderAddresses.clear();
    const auto [entry, added] = m_senderAddresses.try_emplace(m_senderEndpoint);
    if (added)
        entry->second = m_senderEndpoint.address().to_string() + ":"
                + std::to_string(m_senderEndpoint.port());
    return entry->second;
}

void PeerExchange::handleDatagram(std::string_view datagram, const std::string &sender)
{
    if (PlacementMessage::isBinary(datagram))
        handlePlacements(datagram, sender);
    else
        handleMessage(parseJson(datagram, "datagram"), sender);
}

void PeerExchange::handlePlacements(std::string_view datagram, const std::string &sender)
{
    const TimePoint now = m_state.clock.now();
    m_receivedPlacements.decode(datagram, now);
    const PlacementSender &fields = m_receivedPlacements.sender;
    if (!recordSender(fields.report, sender, now))
        return;
    PlacementKey key { .gateway = std::string(fields.report.gateway) };
    for (PlacementEvent &event : m_receivedPlacements.events)
        applyEvent(key, event, now);
    if (fields.storeResponseAge)
        m_source.peerReachedStore(now - *fields.storeResponseAge);
    handleRevision(fields.configurationRevision, sender, now);
}

bool PeerExchange::recordSender(const PeerReport &report, const std::string &sender, TimePoint now)
{
    if (report.gateway == m_state.settings.name)
        return false;
    if (m_directory.recordReport(report, sender, now)) {
        m_state.ledger.forgetGateway(std::string(report.gateway), now);
        updateGroup(now);
        m_nextHeldReportAt = {};
        if (m_directory.isInGroup(sender))
            sendOpenPlacements(sender);
    }
    return true;
}

void PeerExchange::handleMessage(const nlohmann::json &message, const std::string &sender)
{
    // Gateways of earlier versions send neither the zone nor `ready`; most of them are ready.
    const PeerReport report { .gateway = requireText(message, "gateway"),
                              .incarnation = requireText(message, "incarnation"),
                              .availabilityZone = optionalText(message, "zone", ""),
                              .ready = optionalBool(message, "ready", true),
                              .groupsByZone = optionalBool(message, "groups_by_zone", false),
                              .compact = optionalBool(message, "compact", false) };
    const TimePoint now = m_state.clock.now();
    if (!recordSender(report, sender, now))
        return;
    PlacementKey key { .gateway = std::string(report.gateway) };
    for (const nlohmann::json &event : requireArray(message, "events")) {
        std::optional<PlacementEvent> decoded = PlacementEvent::parse(event, now);
        if (decoded)
            applyEvent(key, *decoded, now);
    }
    handleEvacuations(message);
    try {
        handleChanges(message, now);
        handlePrompts(message, report.availabilityZone, now);
        handleRateLimits(message, now);
    } catch (const nlohmann::json::exception &error) {
        throw Error(ErrorKind::InvalidMessage, std::string("malformed report: ") + error.what(),
                    "Run the same version on all gateways.");
    }
    handleRevision(requireInteger(message, "revision"), sender, now);
}

void PeerExchange::handleEvacuations(const nlohmann::json &message)
{
    // Not passed on at once: the sender sent it to the whole group, and in a large one each gateway
    // would send a datagram to each.
    m_state.evacuations.apply(decodeEvacuations(message), EvacuationUpdates::Source::Peer);
}

void PeerExchange::handleChanges(const nlohmann::json &message, TimePoint now)
{
    if (message.contains("store_response_age_ms"))
        m_source.peerReachedStore(
                now - Milliseconds(message.at("store_response_age_ms").get<std::int64_t>()));
    if (message.contains("spare_engines"))
        m_state.spareEngines.record(message.at("zone").get<std::string>(),
                                    message.at("spare_engines").get<std::vector<std::string>>(),
                                    now);
    if (message.contains("changes")) {
        UpstreamChangeSet changes { .previousChange =
                                            message.at("previous_change").get<std::int64_t>() };
        for (const nlohmann::json &change : message.at("changes"))
            changes.entries.push_back(decodeChange(change));
        m_source.peerReadChanges(changes, now);
    }
    if (message.contains("store"))
        m_source.peerReported(
                { .configuration = decodeReport(message.at("store").at("configuration")),
                  .upstreams = decodeReport(message.at("store").at("upstreams")) },
                now);
}

void PeerExchange::handlePrompts(const nlohmann::json &message, std::string_view zone,
                                 TimePoint now)
{
    if (!message.contains("prompts"))
        return;
    const bool isGroup = !m_directory.groupsAreZones() || zone == m_state.settings.availabilityZone;
    m_state.quarantine.apply(
            decodeQuarantineNews(message.at("prompts")),
            isGroup ? PromptQuarantine::Origin::Group : PromptQuarantine::Origin::Other, now);
}

void PeerExchange::handleRateLimits(const nlohmann::json &message, TimePoint now)
{
    if (!message.contains("rate_limits"))
        return;
    for (const nlohmann::json &report : message.at("rate_limits"))
        m_state.rateLimits.applyReport(decodeRateLimit(report), now);
}

void PeerExchange::handleRevision(std::int64_t revision, const std::string &sender, TimePoint now)
{
    if (!m_wantsConfiguration(revision)) {
        m_newerRevisionSince = {};
        return;
    }
    if (m_newerRevisionSince == TimePoint {})
        m_newerRevisionSince = now;
    if (m_storeLost || !m_state.configuration || now - m_newerRevisionSince >= storeReadAllowance)
        fetchConfiguration(sender);
}

void PeerExchange::applyEvent(PlacementKey &key, PlacementEvent &event, TimePoint now)
{
    key.number = event.number;
    switch (event.type) {
    case PlacementEvent::Type::Placed:
        m_state.recordPlacement(key, std::move(event.placement));
        return;
    case PlacementEvent::Type::PromptPrefilled:
        m_state.ledger.markPrefilled(key, now);
        return;
    case PlacementEvent::Type::Ended:
        m_state.ledger.end(key, now);
        return;
    }
}

void PeerExchange::sendOpenPlacements(const std::string &peer)
{
    const EventReceivers receivers = eventReceivers({ peer });
    const TimePoint now = m_state.clock.now();
    std::vector<PlacementEvent> events;
    for (LoadLedger::OpenPlacement &open : m_state.ledger.openPlacements(m_state.settings.name)) {
        events.push_back({ .type = PlacementEvent::Type::Placed,
                           .number = open.key.number,
                           .placement = std::move(open.placement) });
        if (open.prefilled)
            events.push_back(
                    { .type = PlacementEvent::Type::PromptPrefilled, .number = open.key.number });
        if (events.size() < eventFlushThreshold)
            continue;
        sendEvents(receivers, events, now);
        events.clear();
    }
    sendEvents(receivers, events, now);
}

void PeerExchange::placed(const PlacementKey &key, const Placement &placement)
{
    if (m_directory.groupsAreZones()) {
        std::set<std::string> zones = otherZones(placement);
        if (!zones.empty())
            m_otherZonesByPlacement[key.number] = std::move(zones);
    }
    enqueue({ .type = PlacementEvent::Type::Placed, .number = key.number, .placement = placement });
}

void PeerExchange::promptPrefilled(const PlacementKey &key)
{
    enqueue({ .type = PlacementEvent::Type::PromptPrefilled, .number = key.number });
}

void PeerExchange::placementEnded(const PlacementKey &key)
{
    enqueue({ .type = PlacementEvent::Type::Ended, .number = key.number });
    m_otherZonesByPlacement.erase(key.number);
}

std::set<std::string> PeerExchange::otherZones(const Placement &placement) const
{
    std::set<std::string> zones;
    for (const PlacedPart &part : placement.parts) {
        const UpstreamRecord *record = m_state.upstreams.find(part.upstream);
        if (record != nullptr && record->availabilityZone != m_state.settings.availabilityZone)
            zones.insert(record->availabilityZone);
    }
    return zones;
}

void PeerExchange::enqueue(PlacementEvent event)
{
    const bool urgent = event.type == PlacementEvent::Type::Placed;
    const auto zones = m_otherZonesByPlacement.find(event.number);
    if (zones != m_otherZonesByPlacement.end()) {
        for (const std::string &zone : zones->second)
            m_pendingEventsByZone[zone].push_back(event);
    }
    m_pendingEvents.push_back(std::move(event));
    if ((!urgent && m_pendingEvents.size() < eventFlushThreshold) || m_flushPosted)
        return;
    m_flushPosted = true;
    asio::post(m_state.context, [this] {
        const EventLoopTurns::Activity activity(EventLoopTurns::of(m_state.context), "datagrams");
        m_flushPosted = false;
        flush(m_state.clock.now());
    });
}

void PeerExchange::sendChanges(const UpstreamChangeSet &changes)
{
    if (!isReader())
        return;
    std::int64_t previousChange = changes.previousChange;
    for (std::size_t start = 0, end = 0; start < changes.entries.size(); start = end) {
        end = changes.endOfTransaction(start + changesPerDatagram);
        nlohmann::json datagram = makeDatagram(nlohmann::json::array());
        datagram["previous_change"] = previousChange;
        for (std::size_t index = start; index < end; ++index)
            datagram["changes"].push_back(encodeChange(changes.entries[index]));
        previousChange = changes.entries[end - 1].revision;
        sendTo(m_group, datagram);
    }
}

void PeerExchange::stateChanged()
{
    sendHeartbeat(m_state.clock.now());
}

void PeerExchange::sweep(TimePoint now)
{
    if (m_configurationFetch) {
        m_configurationFetch->checkTimeouts(now);
        if (m_configurationFetch->isDone())
            m_configurationFetch.reset();
    }
    if (now >= m_nextGroupUpdateAt)
        updateGroup(now);
    if (!m_pendingEvents.empty())
        flush(now);
    // Events take the place of heartbeats, but they carry no evacuations.
    if (now >= m_nextHeartbeatAt
        || (now >= m_nextEvacuationReportAt && !m_state.upstreams.evacuations().isEmpty()))
        sendHeartbeat(now);
    sendQuarantineNews(now);
    sendRateLimits(now);
    if (now >= m_nextZoneReportAt)
        reportToOtherZones(now);
}

void PeerExchange::sendQuarantineNews(TimePoint now)
{
    QuarantineNews news = m_state.quarantine.takeNews();
    if (now >= m_nextHeldReportAt) {
        m_nextHeldReportAt = now
                + heartbeatInterval
                        * std::max<std::size_t>(1, m_group.size() / reportersPerHeartbeat);
        news.held = m_state.quarantine.held(now);
    }
    if (!m_socket.is_open() || news.isEmpty())
        return;
    nlohmann::json datagram = makeDatagram(nlohmann::json::array());
    datagram["prompts"] = encodeQuarantineNews(news);
    sendTo(m_group, datagram);
}

void PeerExchange::sendRateLimits(TimePoint now)
{
    const std::vector<RateLimitReport> reports = m_state.rateLimits.takeReports(now);
    if (!m_socket.is_open() || reports.empty())
        return;
    nlohmann::json datagram = makeDatagram(nlohmann::json::array());
    for (const RateLimitReport &report : reports)
        datagram["rate_limits"].push_back(encodeRateLimit(report));
    sendTo(m_group, datagram);
}

void PeerExchange::reportToOtherZones(TimePoint now)
{
    m_nextZoneReportAt = now + SpareEngines::reportInterval;
    const QuarantineNews news = m_state.quarantine.takeGroupNews(now);
    if (!isReader() || !m_directory.groupsAreZones() || !m_state.configuration)
        return;
    nlohmann::json datagram = makeDatagram(nlohmann::json::array());
    datagram["spare_engines"] = spareEngines(now);
    if (!news.isEmpty())
        datagram["prompts"] = encodeQuarantineNews(news);
    addEvacuations(datagram);
    sendTo(resolve(m_directory.otherZoneAddresses()), datagram);
}

std::vector<std::string> PeerExchange::spareEngines(TimePoint now) const
{
    std::vector<const UpstreamRecord *> engines;
    for (const ServiceProfile &service : m_state.configuration->services()) {
        if (!service.engine)
            continue;
        for (const UpstreamRecord *record : m_state.upstreams.ready(service.name)) {
            if (record->availabilityZone == m_state.settings.availabilityZone
                && !m_state.rateLimits.isLimited(record->id))
                engines.push_back(record);
        }
    }
    return SpareEngines::choose(engines, m_state.ledger, now);
}

void PeerExchange::flush(TimePoint now)
{
    if (!m_socket.is_open() || m_pendingEvents.empty())
        return;
    sendEvents(m_eventReceivers, m_pendingEvents, now);
    m_pendingEvents.clear();
    for (const auto &[zone, events] : m_pendingEventsByZone)
        sendEvents(eventReceivers(m_directory.zoneAddresses(zone, now)), events, now);
    m_pendingEventsByZone.clear();
    // Events show that this gateway is alive, but they carry no report of the store.
    if (!isReader())
        m_nextHeartbeatAt = now + heartbeatInterval;
}

void PeerExchange::sendHeartbeat(TimePoint now)
{
    if (!m_socket.is_open())
        return;
    m_nextHeartbeatAt = now + (isReader() ? readerHeartbeatInterval : heartbeatInterval);
    m_nextEvacuationReportAt = now
            + heartbeatInterval * std::max<std::size_t>(1, m_group.size() / reportersPerHeartbeat);
    nlohmann::json datagram = makeDatagram(nlohmann::json::array());
    if (isReader()) {
        const ControlPlaneReport report = m_source.report(now);
        datagram["store"] = { { "configuration", encodeReport(report.configuration) },
                              { "upstreams", encodeReport(report.upstreams) } };
    }
    addEvacuations(datagram);
    sendTo(m_group, datagram);
    sendTo(resolve(m_directory.takeDueProbes(now)), datagram);
}

void PeerExchange::addEvacuations(nlohmann::json &datagram) const
{
    const ZoneEvacuations &evacuations = m_state.upstreams.evacuations();
    if (!evacuations.isEmpty())
        datagram["evacuations"] = encodeEvacuations(evacuations.entries());
}

nlohmann::json PeerExchange::makeDatagram(nlohmann::json events) const
{
    nlohmann::json datagram { { "gateway", m_state.settings.name },
                              { "incarnation", m_ownIncarnation },
                              { "zone", m_state.settings.availabilityZone },
                              { "revision", m_state.configurationRevision },
                              { "ready", m_state.isReady() },
                              { "groups_by_zone", m_directory.groupsAreZones() },
                              { "compact", true },
                              { "events", std::move(events) } };
    if (const std::optional<Duration> age = storeResponseAge(m_state.clock.now()))
        datagram["store_response_age_ms"] = toMilliseconds(*age);
    return datagram;
}

std::optional<Duration> PeerExchange::storeResponseAge(TimePoint now) const
{
    // Older responses tell peers nothing that they could still use.
    const Duration age = now - m_source.storeRespondedAt().value_or(TimePoint {});
    return age < StoreAvailability::shortestExpiry ? std::optional(age) : std::nullopt;
}

void PeerExchange::sendEvents(const EventReceivers &receivers,
                              std::span<const PlacementEvent> events, TimePoint now)
{
    if (!receivers.compact.empty()) {
        const PlacementSender sender {
            .report = { .gateway = m_state.settings.name,
                        .incarnation = m_ownIncarnation,
                        .availabilityZone = m_state.settings.availabilityZone,
                        .ready = m_state.isReady(),
                        .groupsByZone = m_directory.groupsAreZones() },
            .configurationRevision = m_state.configurationRevision,
            .storeResponseAge = storeResponseAge(now),
        };
        for (auto left = events; !left.empty();) {
            const std::size_t count = std::min(left.size(), PlacementMessage::maximumEvents);
            sendBytes(receivers.compact, PlacementMessage::encode(sender, left.first(count), now));
            left = left.subspan(count);
        }
    }
    if (!receivers.json.empty() && !events.empty()) {
        nlohmann::json encoded = nlohmann::json::array();
        for (const PlacementEvent &event : events)
            encoded.push_back(event.toJson(now));
        sendTo(receivers.json, makeDatagram(std::move(encoded)));
    }
}

void PeerExchange::sendTo(const std::vector<Endpoint> &endpoints, const nlohmann::json &datagram)
{
    if (!endpoints.empty())
        sendBytes(endpoints, toJsonText(datagram));
}

void PeerExchange::sendBytes(const std::vector<Endpoint> &endpoints, const std::string &bytes)
{
    std::size_t sent = 0;
    for (const Endpoint &endpoint : endpoints) {
        asio::error_code error;
        m_socket.send_to(asio::buffer(bytes), endpoint, 0, error);
        sent += error ? 0 : 1;
    }
    if (sent > 0)
        m_state.metrics.increment("lavenderpick_datagrams_sent_total", {}, sent);
    if (sent < endpoints.size())
        m_state.metrics.increment("lavenderpick_datagrams_unsent_total", {},
                                  endpoints.size() - sent);
}

void PeerExchange::fetchConfiguration(const std::string &address)
{
    if (m_configurationFetch && !m_configurationFetch->isDone())
        return;
    m_configurationFetch = std::make_shared<ConfigurationFetch>(*this, address);
    m_configurationFetch->send();
}

} // namespace Lavenderpick
