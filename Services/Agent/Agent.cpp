#include "Services/Agent/Agent.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Upstream/HttpEngine.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

// The engine's load, its inventory, the document and the outcome backlog may each block.
constexpr std::size_t workerThreads = 4;
constexpr Period tickPeriod { .length = Milliseconds(250) };
constexpr Period documentPeriod { .length = Seconds(1) };
constexpr Period backlogPeriod { .length = Seconds(2) };

} // namespace

Agent::Agent(const AgentSettings &settings, AgentDependencies dependencies)
    : m_settings(settings)
    , m_clock(dependencies.clock)
    , m_authenticator(settings.clusterKey, dependencies.clock)
    , m_replica(dependencies.clock, DocumentView::WithoutKeys)
    , m_gate(settings.caps.admissionSettings(), dependencies.clock)
    , m_engine(std::make_unique<HttpEngine>(settings.upstream.address, dependencies.clock,
                                            settings.caps.streamSilence))
    , m_records(dependencies.table, dependencies.objects, dependencies.clock, dependencies.random,
                { .agent = settings.name })
    , m_fence(dependencies.table, dependencies.clock, settings.upstream.name, settings.name,
              newIdentifier(dependencies.random, "fence"))
    , m_loop(dependencies.clock, dependencies.random, workerThreads)
    , m_server(settings.caps.httpLimits(), m_metrics)
    , m_attempts(settings.caps, *m_engine, m_gate, m_replica, m_clock, m_metrics)
    , m_reservations(*m_engine, m_gate, m_clock)
    , m_calls(settings, m_gate, m_replica, m_records, m_clock)
    , m_monitor(settings, *m_engine, m_gate, m_attempts, m_reservations, m_replica, m_fence,
                m_clock)
    , m_follower(m_replica, m_gate, settings.upstream.name, m_authenticator, m_clock)
    , m_reporter({ .upstream = settings.upstream.name,
                   .incarnation = m_clock.wallSeconds(),
                   .clusterKey = settings.clusterKey },
                 m_gate, m_clock,
                 [this](const std::string &address, const std::string &bytes) {
                     m_socket.send(address, bytes);
                 })
    , m_socket(m_loop, settings.host, settings.datagramPort,
               [this](const std::string &bytes, const std::string &sender) {
                   m_reporter.receive(bytes, sender, m_replica.version());
                   followDocument();
               })
    , m_api({ .attempts = m_attempts,
              .reservations = m_reservations,
              .calls = m_calls,
              .gate = m_gate,
              .document = m_replica,
              .authenticator = m_authenticator,
              .metrics = m_metrics,
              .status = [this] { return status(); },
              .onNewerDocument = [this](std::int64_t version) { followDocument(version); } })
{
    m_api.addRoutes(m_server.routes());
    m_port = m_server.start(settings.host, settings.port);
    addTimers();
}

Agent::~Agent()
{
    stop();
    m_server.stop();
}

void Agent::run()
{
    m_loop.run();
    m_server.stop();
    m_records.drainBacklog();
}

void Agent::drain()
{
    if (m_draining)
        return;
    m_drainUntil = m_clock.now() + m_settings.caps.drain;
    m_gate.terminate();
    m_draining = true;
    log(LogLevel::Info, "agent", "Draining", { { "open_requests", openRequests() } });
}

void Agent::stop()
{
    m_loop.stop();
}

nlohmann::json Agent::status() const
{
    const UpstreamGate::Load load = m_gate.load();
    const PlanFollower plan = m_gate.plan();
    const auto refusal = m_gate.refusal();
    return { { "name", m_settings.name },
             { "role", "agent" },
             { "upstream", m_settings.upstream.name },
             { "region", m_settings.region },
             { "availability_zone", m_settings.availabilityZone },
             { "document_version", m_replica.version() },
             { "accepting", load.accepting },
             { "refusal", refusal ? std::string(toString(*refusal)) : "" },
             { "plan", std::string(toString(plan.plan().action)) },
             { "plan_epoch", plan.epoch() },
             { "drained", plan.isDrained(openRequests()) },
             { "fence", m_monitor.fence() },
             { "superseded", m_monitor.isSuperseded() },
             { "open_requests", openRequests() },
             { "reservations", load.reservations },
             { "kv_used", load.kvTokensInUse },
             { "kv_capacity", load.kvCapacity },
             { "outcome_backlog", m_records.backlogSize() },
             { "released", m_monitor.releasedCount() } };
}

void Agent::addTimers()
{
    if (m_settings.upstream.kind == UpstreamKind::Engine) {
        m_loop.postToWorker([this] {
            m_monitor.pollLoad();
            m_monitor.reconcile();
            m_loop.everyOnWorker({ .length = m_settings.loadPeriod },
                                 [this] { m_monitor.pollLoad(); });
            m_loop.everyOnWorker({ .length = m_settings.inventoryPeriod },
                                 [this] { m_monitor.reconcile(); });
        });
    } else {
        // A plain service publishes no load; its failures show in its answers.
        m_gate.setEngineLoad(EngineLoad {});
        m_gate.setModels({ m_settings.upstream.service });
    }
    m_loop.every(tickPeriod, [this] { tick(); });
    m_loop.everyOnWorker(tickPeriod, [this] {
        m_attempts.maintain();
        m_reservations.maintain();
    });
    m_loop.every(documentPeriod, [this] { followDocument(); });
    m_loop.everyOnWorker(backlogPeriod, [this] { m_records.drainBacklog(); });
    m_loop.onTerminationSignal([this] { drain(); });
}

void Agent::tick()
{
    m_reporter.tick(m_replica.version());
    if (m_gate.plan().graceEnded(m_clock.now()))
        m_attempts.failAll(RefusalReason::Draining);
    endIfDrained();
}

void Agent::endIfDrained()
{
    if (!m_draining)
        return;
    if (m_clock.now() >= m_drainUntil)
        m_attempts.failAll(RefusalReason::Draining);
    if (openRequests() == 0)
        m_loop.stop();
}

// Fetches from the subscriber with the latest document; a message from another process may have
// shown a later one before that.
void Agent::followDocument(std::int64_t shownVersion)
{
    const auto latest = m_reporter.latestDocument();
    if (!latest)
        return;
    const std::int64_t version = std::max(latest->version, shownVersion);
    if (version <= m_replica.version() && m_replica.isReady())
        return;
    if (m_following.exchange(true))
        return;
    m_loop.postToWorker([this, address = latest->address, version] {
        m_follower.catchUp(address, version);
        m_following = false;
    });
}

// A reservation counts as well: its handles serve a long prompt that runs on other engines.
std::size_t Agent::openRequests() const
{
    return m_attempts.openCount() + m_reservations.segments().size() + m_gate.load().reservations
            + m_calls.openCount();
}

} // namespace Lavenderpick
