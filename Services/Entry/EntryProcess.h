#pragma once

#include "Services/Entry/AdmissionControl.h"
#include "Services/Entry/AgentDirectory.h"
#include "Services/Entry/CallerGuard.h"
#include "Services/Entry/CompletionApi.h"
#include "Services/Entry/CompletionRelay.h"
#include "Services/Entry/CompletionService.h"
#include "Services/Entry/DocumentSync.h"
#include "Services/Entry/DrainGate.h"
#include "Services/Entry/EntryContext.h"
#include "Services/Entry/EntryInternalApi.h"
#include "Services/Entry/JobApi.h"
#include "Services/Entry/JobRunner.h"
#include "Services/Entry/LongPromptRunner.h"
#include "Services/Entry/PeerClient.h"
#include "Services/Entry/PeerExchange.h"
#include "Services/Entry/ServiceCallApi.h"
#include "Services/Entry/ServiceCalls.h"
#include "Services/Entry/VmListSync.h"
#include "Services/Entry/WaitingRoom.h"
#include "lavenderpick/Http/HttpServer.h"
#include "lavenderpick/Platform/HttpPlatform.h"
#include "lavenderpick/Runtime/EventLoop.h"
#include "lavenderpick/Runtime/WorkerPool.h"

#include <thread>

namespace Lavenderpick {

/// One entry process: builds its parts, runs their timers, and stops without cutting off a request.
class EntryProcess
{
public:
    /// Throws `Error` of kind InvalidSettings when an address can't be bound.
    explicit EntryProcess(const EntrySettings &settings);
    ~EntryProcess();

    /// Serves until SIGTERM or SIGINT, then until the running requests have ended.
    void run();

private:
    void addRoutes();
    void addTimers();
    void addJobTimers();
    void pollVmList();
    void subscribe();
    void sweepRecords();
    void startDrain();
    void drain();
    std::vector<std::string> peerAddresses() const;

    EntrySettings m_settings;
    SystemClock m_clock;
    SystemRandom m_random;
    Metrics m_metrics;
    DocumentReplica m_replica;
    EntryContext m_context;
    EventLoop m_loop;
    HttpPlatform m_platform;
    MessageAuthenticator m_authenticator;
    PeerClient m_peers;
    AgentDirectory m_directory;
    AdmissionControl m_admission;
    DocumentSync m_documents;
    VmListSync m_vmLists;
    PeerExchange m_exchange;
    WaitingRoom m_waitingRoom;
    CompletionRelay m_relay;
    LongPromptRunner m_longPrompts;
    CompletionService m_completions;
    JobRunner m_jobs;
    CallRecords m_records;
    ServiceCalls m_serviceCalls;
    DrainGate m_gate;
    CallerGuard m_guard;
    CompletionApi m_completionApi;
    ServiceCallApi m_serviceCallApi;
    JobApi m_jobApi;
    EntryInternalApi m_internalApi;
    WorkerPool m_cancellations; ///< Behind what its tasks use, so that it ends first.
    HttpServer m_server;
    std::string m_callCursor; ///< Where the next sweep goes on; used by its timer only.
    std::string m_jobCursor;
    std::thread m_drain;
};

} // namespace Lavenderpick
