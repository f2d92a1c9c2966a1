#pragma once

#include "Services/Agent/CallService.h"
#include "Services/Agent/DocumentFollower.h"
#include "Services/Agent/EngineMonitor.h"
#include "Services/Agent/InternalApi.h"
#include "Services/Agent/LoadReporter.h"
#include "lavenderpick/Runtime/DatagramSocket.h"
#include "lavenderpick/Runtime/EventLoop.h"

#include <atomic>
#include <memory>

namespace Lavenderpick {

/// What an agent needs from outside; all of it must outlive the agent.
struct AgentDependencies
{
    const Clock &clock;
    Random &random;
    Table &table;
    ObjectStore &objects;
};

/// The process beside one upstream. `run` serves until `stop` or, after SIGTERM, until drained.
class Agent
{
public:
    /// Throws `Error` of kind InvalidSettings when an address can't be bound.
    Agent(const AgentSettings &settings, AgentDependencies dependencies);
    ~Agent();

    /// Serves on this thread until it is stopped.
    void run();

    /// Refuses new work and ends `run` once nothing runs any more. May be called from any thread.
    void drain();

    /// Ends `run` at once, which cuts off running requests. May be called from any thread.
    void stop();

    int port() const { return m_port; }
    int datagramPort() const { return m_socket.port(); }
    nlohmann::json status() const;

private:
    void addTimers();
    void tick();
    void endIfDrained();
    void followDocument(std::int64_t shownVersion = 0);
    std::size_t openRequests() const;

    AgentSettings m_settings;
    const Clock &m_clock;
    Metrics m_metrics;
    MessageAuthenticator m_authenticator;
    DocumentReplica m_replica;
    UpstreamGate m_gate;
    std::unique_ptr<Engine> m_engine;
    CallRecords m_records;
    UpstreamFence m_fence;
    EventLoop m_loop;
    HttpServer m_server;
    AttemptService m_attempts;
    ReservationService m_reservations;
    CallService m_calls;
    EngineMonitor m_monitor;
    DocumentFollower m_follower;
    LoadReporter m_reporter;
    DatagramSocket m_socket;
    InternalApi m_api;
    int m_port { 0 };
    std::atomic<bool> m_following { false };
    std::atomic<bool> m_draining { false };
    TimePoint m_drainUntil {};
};

} // namespace Lavenderpick
