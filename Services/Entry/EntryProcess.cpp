#include "Services/Entry/EntryProcess.h"

#include "lavenderpick/Base/Log.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

constexpr std::size_t workerThreads = 8;
// When an availability zone fails, hundreds of attempts are cancelled at agents that do not answer.
// They must not delay the document or the lease. Agents cancel abandoned attempts by themselves.
constexpr std::size_t cancellationThreads = 4;
constexpr std::size_t maximumCancellations = 1'024;
constexpr Seconds connectionSweep { 5 };
constexpr double timerJitter = 0.2;
constexpr Milliseconds startupPoll { 500 };
constexpr Seconds adjustPeriod { 1 };
constexpr Milliseconds pumpPeriod { 20 };

} // namespace

EntryProcess::EntryProcess(const EntrySettings &settings)
    : m_settings(settings)
    , m_replica(m_clock)
    , m_context { m_settings, m_clock, m_random, m_metrics, m_replica }
    , m_loop(m_clock, m_random, workerThreads)
    , m_platform(settings.platformAddress, m_clock)
    , m_authenticator(settings.clusterKey, m_clock)
    , m_peers(m_clock, m_authenticator, [this] { return m_replica.version(); })
    , m_directory(m_context)
    , m_admission(m_context)
    , m_documents(m_context, m_platform, m_platform, m_peers)
    , m_vmLists(m_directory, m_platform, m_peers)
    , m_exchange(m_context, m_loop, m_directory, m_admission, m_documents)
    , m_waitingRoom(m_context, m_directory)
    , m_relay({ .silence = settings.caps.streamSilence }, m_clock, m_random, m_metrics, m_peers,
              m_directory,
              [this](std::function<void()> task) { m_cancellations.post(std::move(task)); })
    , m_longPrompts(m_context, m_peers, m_directory, m_relay)
    , m_completions(m_context, m_directory, m_admission, m_waitingRoom, m_relay, m_longPrompts)
    , m_jobs(m_context, m_platform, m_platform, m_directory, m_completions)
    , m_records(m_platform, m_platform, m_clock, m_random, { .agent = settings.name })
    , m_serviceCalls(m_context, m_peers, m_directory, m_records)
    , m_guard(m_context, m_gate)
    , m_completionApi(m_context, m_completions)
    , m_serviceCallApi(m_context, m_serviceCalls, m_records)
    , m_jobApi(m_context, m_jobs)
    , m_internalApi(m_context, m_authenticator, m_directory, m_gate)
    , m_cancellations(cancellationThreads, maximumCancellations)
    , m_server(settings.caps.httpLimits(), m_metrics)
{
    // An agent that is ahead has got its document from another entry, so the store has it too.
    m_peers.observePeerVersions([this](const std::string &, std::int64_t version) {
        if (m_documents.isCallForUpdate(version))
            m_loop.postToWorker([this] { m_documents.poll({}); });
    });
    addRoutes();
    addTimers();
    m_server.start(settings.host, settings.port);
    log(LogLevel::Info, "entry", "Serving", { { "address", settings.address() } });
}

EntryProcess::~EntryProcess()
{
    m_server.stop();
    if (m_drain.joinable())
        m_drain.join();
}

void EntryProcess::run()
{
    m_loop.onTerminationSignal([this] { startDrain(); });
    m_loop.postToWorker([this] { m_documents.poll(peerAddresses()); });
    m_loop.postToWorker([this] { pollVmList(); });
    m_loop.run();
}

void EntryProcess::addRoutes()
{
    httplib::Server &routes = m_server.routes();
    m_completionApi.addRoutes(routes, m_guard);
    m_serviceCallApi.addRoutes(routes, m_guard);
    m_jobApi.addRoutes(routes, m_guard);
    m_internalApi.addStatusPart("jobs", [this] { return m_jobs.toJson(); });
    m_internalApi.addRoutes(routes);
}

void EntryProcess::addTimers()
{
    const EntryPeriods &periods = m_settings.periods;
    m_loop.everyOnWorker({ periods.documentPoll, timerJitter },
                         [this] { m_documents.poll(peerAddresses()); });
    m_loop.everyOnWorker({ startupPoll, timerJitter }, [this] {
        if (!m_replica.isReady())
            m_documents.poll(peerAddresses());
        if (m_directory.vmListVersion() == 0)
            pollVmList();
        else if (!m_directory.hasHeardFromAgents())
            m_loop.post([this] { subscribe(); });
    });
    m_loop.everyOnWorker({ periods.vmListPoll, timerJitter }, [this] { pollVmList(); });
    m_loop.every({ periods.subscribe, timerJitter }, [this] { subscribe(); });
    // The schedule decides when it is time; the timer only has to be shorter than its period.
    m_loop.every({ periods.gossip / 4, 0 }, [this] { m_exchange.gossip(); });
    m_loop.every({ adjustPeriod, timerJitter }, [this] {
        m_admission.followDocument();
        m_admission.adjust(m_directory.fleetLoad(), m_directory.entries().size());
    });
    m_loop.every({ connectionSweep, timerJitter }, [this] { m_peers.closeOldConnections(); });
    m_loop.every({ pumpPeriod, 0 }, [this] { m_waitingRoom.pump(); });
    addJobTimers();
}

void EntryProcess::addJobTimers()
{
    const EntryPeriods &periods = m_settings.periods;
    // Jitter must not lengthen a renewal beyond what the lease allows for.
    m_loop.everyOnWorker({ periods.holderRenewal, 0 }, [this] { m_jobs.renew(); });
    m_loop.everyOnWorker({ periods.holderScan, timerJitter }, [this] { m_jobs.watchHolders(); });
    m_loop.everyOnWorker({ periods.recordSweep, timerJitter }, [this] { sweepRecords(); });
}

void EntryProcess::sweepRecords()
{
    // One entry sweeps: the first by name, as far as this one knows. Two at once do no harm.
    const std::vector<Vm> entries = m_directory.entries();
    if (!entries.empty() && entries.front().name != m_settings.name)
        return;
    m_records.sweepExpired(m_callCursor);
    m_jobs.store().sweepExpired(m_jobCursor);
}

void EntryProcess::pollVmList()
{
    m_vmLists.poll(peerAddresses());
    m_admission.followDocument();
    m_loop.post([this] { subscribe(); });
}

void EntryProcess::subscribe()
{
    m_directory.refresh();
    // Agents would take the version 0 of an entry without a document for the cluster's version and
    // serve before they know services and plans.
    if (m_replica.isReady())
        m_exchange.subscribe();
}

std::vector<std::string> EntryProcess::peerAddresses() const
{
    std::vector<std::string> addresses = m_settings.peers;
    for (const Vm &vm : m_directory.entries())
        addresses.push_back(vm.address);
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    std::erase(addresses, m_settings.address());
    return addresses;
}

void EntryProcess::startDrain()
{
    if (m_drain.joinable())
        return;
    log(LogLevel::Info, "entry", "Stopping gracefully", { { "running", m_gate.running() } });
    m_gate.announce();
    m_drain = std::thread([this] { drain(); });
}

void EntryProcess::drain()
{
    // The balancer needs this time to see that the entry is not ready any more.
    std::this_thread::sleep_for(m_settings.caps.drainNotice);
    m_gate.close();
    m_jobs.stop();
    const bool empty = m_gate.waitUntilEmpty(m_settings.caps.maximumDeadline);
    log(LogLevel::Info, "entry", empty ? "All requests have ended" : "Requests are still running",
        { { "running", m_gate.running() } });
    m_server.stop();
    m_loop.stop();
}

} // namespace Lavenderpick
