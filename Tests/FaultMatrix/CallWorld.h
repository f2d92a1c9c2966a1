#pragma once

#include "Fakes/FakeObjectStore.h"
#include "Fakes/FakeTable.h"
#include "FaultMatrix/Matrix.h"
#include "lavenderpick/Records/CallRecords.h"

#include <memory>

namespace Lavenderpick::FaultMatrix {

/// Without its own randomness a claim can't be told from that of a duplicated message.
class ConstantRandom final : public Random
{
public:
    std::uint64_t next() override { return 7; }
};

/// One caller, two entries, an agent with faults, a second agent without, and the service's
/// journal.
class CallWorld
{
public:
    CallWorld(const Plan &plan, const Guards &guards, std::size_t inlineBodyBytes);

    /// Submits a call with the one key; faulty steps happen only in the first entry and its agent.
    void submitWithFaults();
    void submitElsewhere();
    void lookUpElsewhere();

    /// The caller's next moves, the end of all faults, and the late messages.
    void finish();

    CellResult result();
    ManualClock clock {};
    Injector injector;

private:
    struct Told
    {
        int submission; ///< -1: a look-up.
        int submissionsBefore;
        CallReply reply;
    };

    CallRequest makeRequest();
    CallReply dispatch(CallRecords &records, const CallRecords::SendToAgent &send);
    CallAnswer handleAtAgent(CallRecords &records, CallRequest request);
    CallAnswer deliver(const CallRequest &request);
    ServiceResult sendToService(const CallRequest &request);
    std::optional<CallAnswer> sendToAgent(const CallRequest &request);
    void restartAgent();
    std::unique_ptr<CallRecords> makeRecords(Table &table, ObjectStore &objects, Random &random);
    void check(bool holds, const std::string &violation);
    void checkTold(const Told &told);
    int executionsOf(int submission) const;

    Guards m_guards;
    std::size_t m_inlineBodyBytes;
    FakeTable m_table {};
    FakeObjectStore m_objects {};
    FaultyTable m_faultyTable;
    FaultyObjects m_faultyObjects;
    SeededRandom m_random { 1 };
    ConstantRandom m_constantRandom {};
    std::vector<std::unique_ptr<CallRecords>> m_deadAgents {};
    std::unique_ptr<CallRecords> m_entry;
    std::unique_ptr<CallRecords> m_agent;
    std::unique_ptr<CallRecords> m_otherEntry;
    std::unique_ptr<CallRecords> m_otherAgent;
    std::vector<CallRequest> m_submissions {};
    std::vector<std::string> m_journal {}; ///< Request ids in the order of execution.
    std::vector<Told> m_told {};
    std::optional<CallRequest> m_underWay {};
    Duration m_overrun {}; ///< Time that the agent took after the entry had given up.
    int m_deliveries { 0 };
    bool m_agentKilled { false };
    bool m_answered { false }; ///< The faulty agent saw the service's answer.
    std::vector<std::string> m_violations {};
};

} // namespace Lavenderpick::FaultMatrix
