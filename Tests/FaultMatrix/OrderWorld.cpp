#include "Fakes/FakeTable.h"
#include "FaultMatrix/Matrix.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Upstream/OrderController.h"
#include "lavenderpick/Upstream/UpstreamFence.h"

namespace Lavenderpick::FaultMatrix {

namespace {

constexpr Seconds reconcileInterval { 5 };

/// One start of the agent of an upstream, as far as orders are concerned.
struct OrderingAgent
{
    OrderingAgent(Table &table, const Clock &clock, const std::string &token)
        : fence(table, clock, "u", "agent", token)
    { }

    UpstreamFence fence;
    OrderController controller {};
};

/// An agent that meets the faults loads version 1; its successor loads version 2. The engine
/// ignores fences, so that only the agents' checks and their reconciliation protect it.
class OrderWorld
{
public:
    OrderWorld(const Plan &plan, const Guards &guards)
        : m_guards(guards)
        , m_injector(m_clock, plan)
        , m_faultyTable(m_table, m_injector, guards)
        , m_former(m_faultyTable, m_clock, "former")
        , m_next(m_table, m_clock, "next")
    {
        m_injector.whileFrozen = [this] {
            m_clock.advance(Seconds(60));
            startNext();
        };
        m_injector.race = [this] { startNext(); };
        m_injector.redeliver = [] {};
    }

    CellResult run()
    {
        try {
            start(m_former, "1", 10);
            for (int round = 0; round < 3; ++round) {
                reconcile(m_former);
                m_clock.advance(reconcileInterval);
            }
        } catch (const ProcessKilled &) {
            // The next agent starts.
        }
        m_injector.quietly([this] { finish(); });
        return { m_injector.kinds(), m_violations };
    }

private:
    void start(OrderingAgent &agent, const std::string &version, std::int64_t epoch)
    {
        const auto fence = agent.fence.raise(Seconds(10));
        if (!fence)
            return;
        check(*fence > m_highestFence, "a fence was given twice");
        m_highestFence = *fence;
        m_raisedAt = m_clock.now();
        agent.controller.setFence(*fence);
        agent.controller.setDesired({ .models = { { "m", version } }, .epoch = epoch });
    }

    void startNext()
    {
        if (m_nextStarted)
            return;
        m_nextStarted = true;
        start(m_next, "2", 20);
        reconcile(m_next);
    }

    void reconcile(OrderingAgent &agent)
    {
        try {
            const EngineState observed = m_engine;
            for (const EngineOrder &order : agent.controller.ordersFor(observed, m_clock.now())) {
                if (m_guards.fenceCheck && agent.controller.mustCheckFence(m_clock.now()))
                    agent.controller.observeFence(agent.fence.read(), m_clock.now());
                if (agent.controller.isSuperseded())
                    return;
                send(agent, order);
            }
        } catch (const Error &) {
            // Tried again at the next round.
        }
    }

    void send(OrderingAgent &agent, const EngineOrder &order)
    {
        // Within `longestPause` of its check an agent may still send; reconciliation repairs that.
        const bool superseded = agent.controller.fence() < m_highestFence;
        const bool late = superseded && m_clock.now() - m_raisedAt > OrderController::longestPause;
        try {
            m_injector.perform<bool>(StepKind::Service, [this, order] {
                if (order.kind == "load_model")
                    m_engine.models[order.name] = order.version;
                else if (order.kind == "unload_model")
                    m_engine.models.erase(order.name);
                m_engine.fence = order.fence;
                return true;
            });
        } catch (const Error &) {
            agent.controller.orderFailed(order);
        }
        check(!late, "a superseded agent ordered after a pause");
    }

    void finish()
    {
        startNext();
        m_injector.recover();
        // By now both have the newest document, whichever of them started last.
        m_former.controller.setDesired(m_desired);
        m_next.controller.setDesired(m_desired);
        for (int round = 0; round < 8; ++round) {
            reconcile(m_former);
            reconcile(m_next);
            m_clock.advance(reconcileInterval);
        }
        check(m_engine.models == std::map<std::string, std::string> { { "m", "2" } },
              "the engine does not run what the document says");
    }

    void check(bool holds, const std::string &violation)
    {
        if (!holds)
            m_violations.push_back(violation);
    }

    Guards m_guards;
    ManualClock m_clock {};
    Injector m_injector;
    FakeTable m_table {};
    FaultyTable m_faultyTable;
    OrderingAgent m_former;
    OrderingAgent m_next;
    EngineState m_engine {};
    std::int64_t m_highestFence { 0 };
    TimePoint m_raisedAt {};
    bool m_nextStarted { false };
    const DesiredEngineState m_desired { .models = { { "m", "2" } }, .epoch = 20 };
    std::vector<std::string> m_violations {};
};

} // namespace

Scenario orderScenario()
{
    return { "order", [](const Plan &plan, const Guards &guards) {
                return OrderWorld(plan, guards).run();
            } };
}

} // namespace Lavenderpick::FaultMatrix
