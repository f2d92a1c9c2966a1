#include "Services/Gateway/GatewayProcess.h"

#include "Services/Gateway/EvacuationMessages.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Forward/StorePosition.h"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

// Resolution of all timeouts. The strictest limit that a timeout must meet is half a second.
constexpr Milliseconds sweepInterval { 50 };

} // namespace

GatewayProcess::GatewayProcess(asio::io_context &context, const Clock &clock, Random &random,
                               const RequestDialect &dialect, ControlPlaneSource &source,
                               GatewaySettings settings, std::string settingsPath)
    : m_context(context)
    , m_turns(EventLoopTurns::of(context))
    , m_state(context, clock, random, dialect, std::move(settings))
    , m_source(source)
    , m_settingsPath(std::move(settingsPath))
    , m_acceptor(listenOn(context, m_state.settings.callerAddress))
    , m_readinessServer(context, m_state.settings.readinessAddress,
                        [this](const std::string &) {
                            return LocalResponse { .status = m_state.isReady() ? 200 : 503 };
                        })
    , m_peerServer(context, m_state.settings.peerAddress,
                   [this](const std::string &target) { return peerResponse(target); })
    , m_metricsServer(openMetricsServer())
    , m_peerExchange(m_state, source)
    , m_zoneLocality(m_state.settings.availabilityZone)
    , m_sweepTimer(context)
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    , m_configurationLoader(clock, source)
{
    m_turns.watch(clock, m_state.metrics);
    m_state.placementObserver = &m_peerExchange;
    m_state.quarantine.setChangeHandler([this](const SuspectedParts &suspicion, bool held) {
        quarantineChanged(suspicion, held);
    });
}

GatewayProcess::~GatewayProcess()
{
    m_turns.unwatch();
}

void GatewayProcess::run()
{
    log(LogLevel::Info, "gateway", "started",
        { { "callers", m_state.settings.callerAddress },
          { "availability_zone", m_state.settings.availabilityZone } });
    waitForSignals();
    accept();
    scheduleSweep();
    m_peerExchange.start(
            [this](const ConfigurationSnapshot &snapshot,
                   const std::vector<UpstreamRecord> &upstreams) {
                configurationRead(snapshot);
                // A list from the store is never older than a peer's, so a peer's is used only
                // before the first list from the store.
                if (!m_state.hasUpstreamList)
                    upstreamsListed(upstreams);
            },
            [this](std::int64_t revision) { return m_configurationLoader.wants(revision); });
    m_state.rateLimits.setCensus(m_peerExchange.directory().census(), m_state.clock.now());
    m_source.start(*this,
                   { .address = m_state.settings.peerAddress,
                     .availabilityZone = m_state.settings.availabilityZone });
    m_context.run();
    log(LogLevel::Info, "gateway", "stopped", { { "open_requests", m_state.openRequests } });
}

void GatewayProcess::accept()
{
    m_accepting = true;
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            // While file descriptors are exhausted, an immediate retry would fail again; `sweep`
            // retries.
            log(LogLevel::Warning, "gateway", "accepting failed: " + error.message());
            m_accepting = false;
            return;
        }
        const EventLoopTurns::Activity activity(m_turns, "callers");
        addConnection(std::move(socket));
        accept();
    });
}

void GatewayProcess::addConnection(asio::ip::tcp::socket socket)
{
    const auto connection = std::make_shared<InboundConnection>(m_state, std::move(socket));
    m_connections.insert(connection);
    connection->start();
}

void GatewayProcess::scheduleSweep()
{
    m_sweepTimer.expires_after(sweepInterval);
    m_sweepTimer.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        const EventLoopTurns::Activity activity(m_turns, "sweep");
        sweep();
        scheduleSweep();
    });
}

void GatewayProcess::sweep()
{
    const TimePoint now = m_state.clock.now();
    m_state.upstreams.recordCheck(now);
    if (m_state.learnsEngineSpeeds()) {
        m_state.engineSpeeds.recordTimer(sweepInterval, now);
        m_state.updateEngineSpeeds();
    }
    m_source.checkTimeouts(now);
    m_peerExchange.sweep(now);
    const std::size_t gatewayCount = m_peerExchange.directory().gatewayCount();
    m_state.retryBudget.setGatewayCount(gatewayCount);
    m_state.pool.setGatewayCount(gatewayCount);
    if (m_state.isFair()) {
        m_state.scarceCapacity.setGatewayCount(gatewayCount);
        m_state.metrics.setGauge("lavenderpick_waiting_requests", "",
                                 static_cast<double>(m_state.waiting.size()));
    }
    m_state.rateLimits.setGateways(m_peerExchange.groupSize(),
                                   m_peerExchange.directory().aliveShare(now));
    m_state.rateLimits.setCensus(m_peerExchange.directory().census(), now);
    m_state.applyColdChanges();
    m_state.peerIsReady = m_peerExchange.directory().hasReadyPeer(now);
    updateZoneLocality();
    expireUpstreams(now);
    m_state.ledger.expire(now);
    m_state.quarantine.update(now);
    m_state.rateLimits.expire(now);
    m_state.pool.trimIdleConnections(now);
    m_state.engineCalls.checkTimeouts(now);
    const std::vector<std::shared_ptr<InboundConnection>> connections(m_connections.begin(),
                                                                      m_connections.end());
    for (const auto &connection : connections)
        connection->checkTimeouts(now);
    std::erase_if(m_connections, [](const auto &connection) { return connection->isFinished(); });
    if (!m_accepting && m_acceptor.is_open())
        accept();
    if (m_state.stop.isStopping())
        continueStop(now);
}

void GatewayProcess::expireUpstreams(TimePoint now)
{
    const UpstreamDirectory::Expired expired =
            m_state.upstreams.expire(now, m_source.upstreamsCompleteUpTo(now));
    for (const std::string &id : expired.removed) {
        log(LogLevel::Info, "gateway", "upstream removed after a delay", { { "upstream", id } });
        forgetUpstream(id);
    }
    for (const std::string &id : expired.returned)
        log(LogLevel::Info, "gateway", "upstream's pause ended",
            { { "upstream", id }, { "ready", m_state.upstreams.isReady(id) } });
}

void GatewayProcess::continueStop(TimePoint now)
{
    const bool acceptsConnections = m_state.stop.acceptsConnections(now, m_state.peerIsReady);
    if (acceptsConnections != m_acceptor.is_open()) {
        log(LogLevel::Info, "gateway",
            acceptsConnections ? "accepting again" : "no longer accepting",
            { { "stopping_ms", toMilliseconds(m_state.stop.elapsed(now)) },
              { "gateways", m_peerExchange.directory().gatewayCount() } });
        if (acceptsConnections)
            reopenListener();
        else
            closeListener();
    }
    if (!acceptsConnections) {
        for (const auto &connection : m_connections)
            connection->closeIfIdle();
    }
    const bool hasBusyConnection =
            std::any_of(m_connections.begin(), m_connections.end(),
                        [](const auto &connection) { return connection->isBusy(); });
    if (m_state.stop.shouldExit(now, hasBusyConnection))
        m_context.stop();
}

void GatewayProcess::closeListener()
{
    // Closing the listener would reset the connections that callers have established already.
    asio::error_code error;
    m_acceptor.cancel(error);
    m_acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error)
            addConnection(std::move(socket));
    }
    if (error != asio::error::would_block)
        log(LogLevel::Warning, "gateway", "accepting before the stop failed: " + error.message());
    m_acceptor.close(error);
}

// Called during a stop when no peer is ready any more, because the last ready one stops as well.
void GatewayProcess::reopenListener()
{
    try {
        m_acceptor = listenOn(m_context, m_state.settings.callerAddress);
        accept();
    } catch (const Error &error) {
        log(LogLevel::Warning, "gateway", error.what());
    }
}

void GatewayProcess::waitForSignals()
{
    m_signals.async_wait([this](const asio::error_code &error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reloadSettings();
        else
            beginStop();
        waitForSignals();
    });
}

void GatewayProcess::reloadSettings()
{
    try {
        const GatewaySettings settings = GatewaySettings::fromFile(m_settingsPath);
        m_state.settings.stopGrace = settings.stopGrace;
        m_state.stop.setGracePeriod(settings.stopGrace);
        m_state.settings.memoryBytes = settings.memoryBytes;
        m_state.settings.seeds = settings.seeds;
        log(LogLevel::Info, "gateway", "settings reloaded", { { "file", m_settingsPath } });
    } catch (const Error &error) {
        log(LogLevel::Warning, "gateway", std::string("settings not reloaded: ") + error.what());
    }
}

void GatewayProcess::beginStop()
{
    if (m_state.stop.isStopping())
        return;
    m_state.stop.begin(m_state.clock.now());
    m_peerExchange.stateChanged();
    log(LogLevel::Info, "gateway", "stopping", { { "open_requests", m_state.openRequests } });
}

std::unique_ptr<LocalHttpServer> GatewayProcess::openMetricsServer()
{
    if (m_state.settings.metricsAddress.empty())
        return nullptr;
    try {
        return std::make_unique<LocalHttpServer>(
                m_context, m_state.settings.metricsAddress,
                [this](const std::string &target) { return metricsResponse(target); });
    } catch (const Error &error) {
        // Not needed to serve callers; the peer address serves the metrics too.
        log(LogLevel::Warning, "gateway", error.what());
        return nullptr;
    }
}

LocalResponse GatewayProcess::metricsResponse(const std::string &target) const
{
    if (target != "/metrics")
        return { .status = 404 };
    return { .contentType = "text/plain; version=0.0.4",
             .body = m_state.metrics.toPrometheusText() };
}

LocalResponse GatewayProcess::peerResponse(const std::string &target)
{
    if (target == "/metrics")
        return metricsResponse(target);
    if (target == "/configuration" && m_state.configuration)
        return { .body = encodeServingState() };
    return { .status = 404 };
}

std::string GatewayProcess::encodeServingState() const
{
    nlohmann::json upstreams = nlohmann::json::array();
    for (UpstreamRecord &record : m_state.upstreams.records()) {
        record.coldLeft = m_state.coldUpstreams.left(record.id, m_state.clock.now());
        upstreams.push_back(record.toJson());
    }
    return nlohmann::json {
        { "revision", m_state.configurationRevision },
        { "text", m_configurationLoader.text() },
        { "upstreams", std::move(upstreams) },
        { "evacuations", encodeEvacuations(m_state.upstreams.evacuations().entries()) }
    }.dump();
}

void GatewayProcess::configurationRead(ConfigurationSnapshot snapshot)
{
    m_configurationLoader.offer(std::move(snapshot));
    postConfigurationStep();
}

// Each slice is posted, so that callers' events that arrived meanwhile are handled before it.
void GatewayProcess::postConfigurationStep()
{
    if (m_configurationStepPosted || !m_configurationLoader.isBusy())
        return;
    m_configurationStepPosted = true;
    asio::post(m_context, [this] { continueConfiguration(); });
}

void GatewayProcess::continueConfiguration()
{
    const EventLoopTurns::Activity activity(m_turns, "configuration");
    m_configurationStepPosted = false;
    if (const auto result = m_configurationLoader.step())
        applyConfiguration(*result);
    postConfigurationStep();
}

void GatewayProcess::applyConfiguration(const ConfigurationLoader::Result &result)
{
    m_state.metrics.increment("lavenderpick_configurations_total",
                              result.configuration         ? "result=\"applied\""
                                      : result.keptVersion ? "result=\"older\""
                                                           : "result=\"invalid\"");
    if (result.keptVersion) {
        m_state.configurationRevision = result.revision;
        log(LogLevel::Warning, "gateway", "configuration of an older version ignored",
            { { "revision", result.revision }, { "kept_version", *result.keptVersion } });
        return;
    }
    if (!result.configuration) {
        log(LogLevel::Error, "gateway", "configuration ignored: " + result.error,
            { { "revision", result.revision } });
        return;
    }
    m_state.configuration = result.configuration;
    m_state.configurationRevision = result.revision;
    std::vector<ServiceProfile> services;
    for (const ServiceProfile &service : m_state.configuration->services())
        services.push_back(service);
    m_state.coldUpstreams.setServices(services);
    m_state.applyColdChanges();
    m_peerExchange.stateChanged();
    log(LogLevel::Info, "gateway", "configuration in force",
        { { "revision", result.revision },
          { "version", result.configuration->version() },
          { "routes", result.configuration->routeCount() },
          { "decoded", result.decodedElements },
          { "reused", result.reusedElements },
          { "slices", result.slices },
          { "elapsed_ms", toMilliseconds(result.elapsed) } });
}

void GatewayProcess::upstreamsListed(const std::vector<UpstreamRecord> &records)
{
    m_state.upstreams.replaceAll(records, m_state.clock.now());
    m_state.coldUpstreams.recordList(records, m_state.clock.now());
    m_state.applyColdChanges();
    m_state.outliers.setKnownUpstreams(m_state.upstreams.size());
    if (!m_state.hasUpstreamList) {
        m_state.hasUpstreamList = true;
        m_peerExchange.stateChanged();
    }
    log(LogLevel::Info, "gateway", "upstreams listed",
        { { "count", records.size() }, { "directory", m_state.upstreams.generation() } });
}

void GatewayProcess::upstreamChanged(const UpstreamChange &change)
{
    const UpstreamRecord *previous = m_state.upstreams.find(change.id);
    const bool restarted =
            previous != nullptr && change.record && previous->startedMs != change.record->startedMs;
    if (restarted)
        forgetUpstream(change.id);
    bool delayed = false;
    if (change.record)
        m_state.upstreams.put(*change.record);
    else
        delayed = m_state.upstreams.remove(change.id, m_state.clock.now());
    if (m_state.upstreams.find(change.id) == nullptr)
        forgetUpstream(change.id);
    if (change.record)
        m_state.coldUpstreams.recordChange(*change.record, m_state.clock.now());
    m_state.applyColdChanges();
    m_state.outliers.setKnownUpstreams(m_state.upstreams.size());
    std::string_view state = "gone";
    if (change.record)
        state = change.record->state == UpstreamState::Ready ? "ready" : "leaving";
    log(LogLevel::Info, "gateway", "upstream changed",
        { { "upstream", change.id },
          { "state", state },
          { "restarted", restarted },
          { "delayed", delayed },
          { "directory", m_state.upstreams.generation() } });
}

void GatewayProcess::forgetUpstream(const std::string &id)
{
    m_state.pool.forget(id);
    m_state.outliers.forget(id);
    m_state.rateLimits.forget(id);
    m_state.engineSpeeds.forget(id);
    m_state.retainedPrompts.forget(id);
    m_state.coldUpstreams.recordGone(id, m_state.clock.now());
}

void GatewayProcess::upstreamChangesRead(const UpstreamChangeSet &changes)
{
    m_peerExchange.sendChanges(changes);
}

void GatewayProcess::zonesEvacuated(const EvacuationUpdate &update)
{
    if (m_state.evacuations.apply(update, EvacuationUpdates::Source::Store))
        m_peerExchange.stateChanged();
}

void GatewayProcess::storeReturned(std::int64_t formerEra, std::int64_t era)
{
    m_state.metrics.increment("lavenderpick_store_returns_total");
    log(LogLevel::Warning, "gateway", "the store came back from an older copy",
        { { "former_era", formerEra },
          { "era", era },
          { "former_revision", StorePosition::fromNumber(m_state.configurationRevision).revision },
          { "configuration", m_state.configuration ? m_state.configuration->version() : 0 },
          { "upstreams", m_state.upstreams.size() } });
    m_state.upstreams.recordStoreReturn();
}

void GatewayProcess::gatewaysListed(const std::vector<GatewayRecord> &gateways)
{
    m_peerExchange.setRegistered(gateways);
    m_state.rateLimits.setCensus(m_peerExchange.directory().census(), m_state.clock.now());
}

void GatewayProcess::quarantineChanged(const SuspectedParts &suspicion, bool held)
{
    m_peerExchange.quarantineChanged();
    m_state.metrics.increment("lavenderpick_quarantine_changes_total",
                              held ? "state=\"held\"" : "state=\"released\"");
    log(LogLevel::Warning, "gateway", held ? "prompt parts quarantined" : "prompt parts released",
        { { "prompt_parts", suspicion.parts },
          { "crashes", suspicion.crashes },
          { "moments", suspicion.moments },
          { "since_ms", toMilliseconds(m_state.clock.now() - suspicion.firstCrash) } });
}

void GatewayProcess::updateZoneLocality()
{
    if (m_state.configuration && m_localityGeneration != m_state.upstreams.generation()) {
        m_localityGeneration = m_state.upstreams.generation();
        std::vector<const UpstreamRecord *> engines;
        for (const ServiceProfile &service : m_state.configuration->services()) {
            const auto &ready = m_state.upstreams.ready(service.name);
            if (service.engine)
                engines.insert(engines.end(), ready.begin(), ready.end());
        }
        m_zoneLocality.update(engines);
        m_peerExchange.setZonesServeThemselves(m_zoneLocality.isLocal());
    }
    m_state.subset.setOwnZoneOnly(m_peerExchange.directory().groupsAreZones());
}

void GatewayProcess::storeLost(const std::string &reason)
{
    m_peerExchange.setStoreLost(true);
    log(LogLevel::Warning, "gateway", "store lost", { { "reason", reason } });
}

void GatewayProcess::storeRegained()
{
    m_peerExchange.setStoreLost(false);
    log(LogLevel::Info, "gateway", "store regained");
}

void GatewayProcess::storeCallFailed()
{
    m_state.upstreams.recordStoreFailure();
}

void GatewayProcess::storeResponded(TimePoint at)
{
    m_state.upstreams.recordStoreResponse(at);
}

} // namespace Lavenderpick
