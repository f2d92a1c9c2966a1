#include "FaultMatrix/Matrix.h"
#include "Services/Entry/LongPromptPlan.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Upstream/ReservationLedger.h"

#include <map>
#include <set>

namespace Lavenderpick::FaultMatrix {

namespace {

constexpr std::int64_t capacity = 100;
constexpr Seconds reservationTtl { 30 };

/// An engine with its agent's ledger. The engine's handles outlive the agent.
struct LedgerAgent
{
    ReservationLedger ledger { capacity };
    std::set<std::string> handles {};

    void releaseOrphans()
    {
        for (const auto &handle : ledger.takeOrphanedHandles())
            handles.erase(handle);
    }

    /// A new agent releases what the inventory lists and nobody claims.
    void restart()
    {
        ledger = ReservationLedger(capacity);
        handles.clear();
    }
};

/// Two entries compete for the memory of two engines; one of them meets the faults.
class ReservationWorld
{
public:
    ReservationWorld(const Plan &plan, const Guards &guards)
        : m_guards(guards)
        , m_injector(m_clock, plan)
    {
        m_agents["a"];
        m_agents["b"];
        m_injector.race = [this] { runPrompt("racer" + std::to_string(++m_racers)); };
        m_injector.whileFrozen = [this] {
            m_clock.advance(Seconds(60));
            sweep();
            runPrompt("racer" + std::to_string(++m_racers));
        };
        m_injector.redeliver = [this] {
            if (m_lastRequest)
                m_lastRequest();
        };
    }

    CellResult run()
    {
        try {
            runPrompt("first");
        } catch (const ProcessKilled &) {
            // The entry died with its reservations.
        }
        m_injector.quietly([this] { finish(); });
        return { m_injector.kinds(), m_violations };
    }

private:
    using Request = std::function<LedgerResult(LedgerAgent &)>;

    bool runPrompt(const std::string &owner)
    {
        const std::string prompt(120, 'x');
        LongPromptPlan plan({ { "b", "", capacity }, { "a", "", capacity } }, prompt, 120, 10);
        bool decoded = false;
        while (plan.step() != LongPromptPlan::Step::Release) {
            const std::string part = owner + "-" + std::to_string(plan.index());
            const std::int64_t tokens = plan.segment().tokens;
            const std::string &upstream = plan.member().upstream;
            switch (plan.step()) {
            case LongPromptPlan::Step::Reserve:
                send(upstream,
                     [=, this](LedgerAgent &agent) {
                         return agent.ledger.reserve(
                                 { owner, owner + "/1", tokens, toMilliseconds(reservationTtl) },
                                 m_clock.now());
                     })
                        ? plan.onReserved()
                        : plan.onRefused();
                break;
            case LongPromptPlan::Step::Prefill:
                prefill(upstream, owner, part, tokens) ? plan.onPrefilled(part) : plan.onFailed();
                break;
            default:
                decoded = decode(upstream, owner, part);
                decoded ? plan.onDecoded() : plan.onFailed();
                break;
            }
        }
        for (const GroupMember &member : plan.members())
            send(member.upstream, [=](LedgerAgent &agent) {
                agent.ledger.release(owner);
                return LedgerResult::Granted;
            });
        return decoded;
    }

    bool prefill(const std::string &upstream, const std::string &owner, const std::string &part,
                 std::int64_t tokens)
    {
        return send(upstream, [=, this](LedgerAgent &agent) {
            const LedgerResult result = agent.ledger.charge(part, tokens, owner);
            if (result != LedgerResult::Granted)
                return result;
            if (!engineWorks()) {
                agent.ledger.discharge(part);
                return LedgerResult::NoMemory;
            }
            agent.handles.insert(part);
            agent.ledger.chargeHandle(part, part);
            return result;
        });
    }

    bool decode(const std::string &upstream, const std::string &owner, const std::string &part)
    {
        return send(upstream, [=, this](LedgerAgent &agent) {
            const LedgerResult result = agent.ledger.charge(part, 10, owner);
            const bool worked = result == LedgerResult::Granted && engineWorks();
            agent.ledger.discharge(part);
            return worked ? result : LedgerResult::NoMemory;
        });
    }

    bool engineWorks()
    {
        try {
            return m_injector.perform<bool>(StepKind::Service, [] { return true; });
        } catch (const Error &) {
            return false;
        }
    }

    bool send(const std::string &upstream, const Request &request)
    {
        const std::function<LedgerResult()> deliver = [this, upstream, request] {
            LedgerAgent &agent = m_agents[upstream];
            try {
                const LedgerResult result = request(agent);
                checkCapacity(agent);
                agent.releaseOrphans();
                return result;
            } catch (const ProcessKilled &) {
                agent.restart();
                throw Error(ErrorKind::UpstreamFailed, "The agent died", "Try elsewhere.");
            }
        };
        m_lastRequest = deliver;
        try {
            return m_injector.perform<LedgerResult>(StepKind::Message, deliver)
                    == LedgerResult::Granted;
        } catch (const Error &) {
            return false;
        }
    }

    void sweep()
    {
        for (auto &[name, agent] : m_agents) {
            if (m_guards.expiry)
                agent.ledger.sweep(m_clock.now());
            agent.releaseOrphans();
        }
    }

    void finish()
    {
        m_injector.recover();
        m_clock.advance(reservationTtl + Seconds(1));
        sweep();
        for (const auto &[name, agent] : m_agents) {
            check(agent.ledger.used() == 0, "memory stays reserved");
            check(agent.handles.empty(), "an export stays at an engine");
        }
        check(runPrompt("last"), "a prompt finds no memory on idle engines");
    }

    void checkCapacity(const LedgerAgent &agent)
    {
        check(agent.ledger.used() <= capacity, "more memory was reserved than there is");
    }

    void check(bool holds, const std::string &violation)
    {
        if (!holds)
            m_violations.push_back(violation);
    }

    Guards m_guards;
    ManualClock m_clock {};
    Injector m_injector;
    std::map<std::string, LedgerAgent> m_agents {};
    std::function<LedgerResult()> m_lastRequest {};
    int m_racers { 0 };
    std::vector<std::string> m_violations {};
};

} // namespace

Scenario reservationScenario()
{
    return { "reservation", [](const Plan &plan, const Guards &guards) {
                return ReservationWorld(plan, guards).run();
            } };
}

} // namespace Lavenderpick::FaultMatrix
