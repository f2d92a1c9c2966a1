#include "FaultMatrix/CallWorld.h"

#include "lavenderpick/Base/Error.h"

#include <algorithm>

namespace Lavenderpick::FaultMatrix {

namespace {

constexpr Seconds deadline { 10 };
constexpr Seconds beyondClockSkew { 5 };
const std::string serviceBody = "booked: ice cleats, depot 3";

} // namespace

CallWorld::CallWorld(const Plan &plan, const Guards &guards, std::size_t inlineBodyBytes)
    : injector(clock, plan)
    , m_guards(guards)
    , m_inlineBodyBytes(inlineBodyBytes)
    , m_faultyTable(m_table, injector, guards)
    , m_faultyObjects(m_objects, injector, guards)
{
    m_entry = makeRecords(m_faultyTable, m_faultyObjects, m_random);
    m_otherEntry = makeRecords(m_table, m_objects, m_random);
    m_otherAgent = makeRecords(m_table, m_objects, m_random);
    restartAgent();
    clock.advance(beyondClockSkew);
    injector.whileFrozen = [this] {
        clock.advance(Seconds(60));
        lookUpElsewhere();
        clock.advance(beyondClockSkew);
        submitElsewhere();
    };
    injector.race = [this] { lookUpElsewhere(); };
    injector.redeliver = [this] {
        if (m_underWay)
            deliver(*m_underWay);
    };
}

std::unique_ptr<CallRecords> CallWorld::makeRecords(Table &table, ObjectStore &objects,
                                                    Random &random)
{
    return std::make_unique<CallRecords>(
            table, objects, clock, random,
            CallRecordsSettings { .agent = "loan-desk-1", .inlineBodyBytes = m_inlineBodyBytes });
}

void CallWorld::restartAgent()
{
    if (m_agent)
        m_deadAgents.push_back(std::move(m_agent)); // Late messages of it may still refer to it.
    Random &random = m_guards.writerTokens ? static_cast<Random &>(m_random) : m_constantRandom;
    m_agent = makeRecords(m_faultyTable, m_faultyObjects, random);
}

CallRequest CallWorld::makeRequest()
{
    const std::string number = std::to_string(m_submissions.size());
    m_submissions.push_back(CallRequest {
            .requestId = "r-" + number,
            .token = newCallToken(m_random, clock.wallSeconds()),
            .customer = "enna",
            .key = "loan-17",
            .digest = "digest of the loan",
            .service = "loan-desk",
            .method = "POST",
            .path = "/loans",
            .body = "{}",
    });
    return m_submissions.back();
}

void CallWorld::submitWithFaults()
{
    const int submission = static_cast<int>(m_submissions.size());
    const CallRequest request = makeRequest();
    const TimePoint due = clock.now() + deadline;
    try {
        const CallReply reply = m_entry->dispatch(
                CallDispatch(request, clock.wallSeconds()),
                [this](const CallRequest &sent) { return sendToAgent(sent); }, due);
        m_told.push_back({ submission, submission, reply });
        const bool stoodStill = injector.has(Fault::Freeze);
        check(stoodStill || clock.now() - m_overrun <= due, "the reply came after the deadline");
    } catch (const ProcessKilled &) {
        // The caller's connection breaks.
    }
}

std::optional<CallAnswer> CallWorld::sendToAgent(const CallRequest &request)
{
    const TimePoint sendBy = clock.now() + Milliseconds(request.deadlineMilliseconds);
    std::optional<CallAnswer> answer;
    try {
        answer = injector.perform<CallAnswer>(StepKind::Message,
                                              [this, request] { return deliver(request); });
    } catch (const Error &) {
        if (!m_guards.cancelFirst)
            answer = CallAnswer { .ran = Ran::No };
    }
    // The agent runs on while the entry, whose own time this is, gives up at `sendBy`.
    if (clock.now() <= sendBy)
        return answer;
    m_overrun += clock.now() - sendBy;
    return std::nullopt;
}

CallAnswer CallWorld::deliver(const CallRequest &request)
{
    m_underWay = request;
    try {
        return handleAtAgent(*m_agent, request);
    } catch (const ProcessKilled &) {
        m_agentKilled = true;
        restartAgent();
        throw Error(ErrorKind::UpstreamFailed, "The agent died", "Settle the call.");
    }
}

CallAnswer CallWorld::handleAtAgent(CallRecords &records, CallRequest request)
{
    const TimePoint due = clock.now() + Milliseconds(request.deadlineMilliseconds);
    m_deliveries += 1;
    if (!m_guards.attemptGate)
        request.token += "-" + std::to_string(m_deliveries);
    CallExecution execution = records.claimStart(request, due);
    if (execution.step() == CallExecution::Step::Send) {
        ServiceResult result = sendToService(request);
        if (result.kind == ServiceResult::Kind::Unknown && !m_guards.sendOnce)
            result = sendToService(request);
        m_answered |= result.kind == ServiceResult::Kind::Answered;
        records.recordOutcome(execution, result);
    }
    return execution.answer();
}

ServiceResult CallWorld::sendToService(const CallRequest &request)
{
    try {
        return injector.perform<ServiceResult>(StepKind::Service, [this, request] {
            m_journal.push_back(request.requestId);
            return ServiceResult { ServiceResult::Kind::Answered, 200, serviceBody, "text/plain" };
        });
    } catch (const Error &) {
        return {};
    }
}

void CallWorld::submitElsewhere()
{
    const int submission = static_cast<int>(m_submissions.size());
    const CallRequest request = makeRequest();
    const auto send = [this](const CallRequest &sent) -> std::optional<CallAnswer> {
        return handleAtAgent(*m_otherAgent, sent);
    };
    const CallReply reply = m_otherEntry->dispatch(CallDispatch(request, clock.wallSeconds()), send,
                                                   clock.now() + deadline);
    m_told.push_back({ submission, submission, reply });
}

void CallWorld::lookUpElsewhere()
{
    const CallReply reply = m_otherEntry->lookUp({ "enna", "loan-17" }, clock.now() + deadline);
    m_told.push_back({ -1, static_cast<int>(m_submissions.size()), reply });
}

void CallWorld::finish()
{
    injector.quietly([this] {
        // A caller that was told "ran" or "not run" asks no more; late messages must not prove it
        // wrong.
        const bool unsettled = m_told.empty() || m_told.back().reply.ran == Ran::Unknown;
        if (unsettled || m_told.back().submission < 0) {
            lookUpElsewhere();
            clock.advance(beyondClockSkew);
            if (m_told.back().reply.ran == Ran::No)
                submitElsewhere();
        }
        injector.recover();
        m_agent->drainBacklog();
        check(m_agent->backlogSize() == 0, "an outcome stays in the backlog");
        lookUpElsewhere();
    });
}

CellResult CallWorld::result()
{
    check(m_journal.size() <= 1, "the call executed more than once");
    for (const Told &told : m_told)
        checkTold(told);
    const bool faultless = injector.planned().empty();
    check(!faultless || m_told.back().reply.ran == Ran::Yes,
          "a call did not run without any fault");
    const bool settled = m_told.back().reply.ran != Ran::Unknown;
    check(settled || m_agentKilled || !m_answered, "a known outcome was not recorded");
    return { injector.kinds(), m_violations };
}

void CallWorld::checkTold(const Told &told)
{
    if (told.reply.ran == Ran::Yes) {
        check(told.reply.body == serviceBody, "the caller got another body");
        check(!m_journal.empty(), "\"ran\" was said of a call that did not run");
    }
    if (told.reply.ran != Ran::No)
        return;
    // A submission's "not run" speaks of that submission; a look-up's of all before it.
    const int first = told.submission < 0 ? 0 : told.submission;
    const int end = told.submission < 0 ? told.submissionsBefore : told.submission + 1;
    for (int submission = first; submission < end; ++submission)
        check(executionsOf(submission) == 0, "\"not run\" was said of a call that ran");
}

int CallWorld::executionsOf(int submission) const
{
    const auto &id = m_submissions[static_cast<std::size_t>(submission)].requestId;
    return static_cast<int>(std::count(m_journal.begin(), m_journal.end(), id));
}

void CallWorld::check(bool holds, const std::string &violation)
{
    if (!holds)
        m_violations.push_back(violation);
}

namespace {

CellResult runCall(const Plan &plan, const Guards &guards, std::size_t inlineBodyBytes)
{
    CallWorld world(plan, guards, inlineBodyBytes);
    world.submitWithFaults();
    world.finish();
    return world.result();
}

// The call was cancelled by a look-up, and a later repeat starts it again.
CellResult runRepeat(const Plan &plan, const Guards &guards)
{
    CallWorld world(plan, guards, 1024);
    world.lookUpElsewhere();
    world.clock.advance(beyondClockSkew);
    world.injector.race = [&world] { world.submitElsewhere(); };
    world.submitWithFaults();
    world.finish();
    return world.result();
}

} // namespace

Scenario callScenario()
{
    return { "call",
             [](const Plan &plan, const Guards &guards) { return runCall(plan, guards, 1024); } };
}

Scenario largeCallScenario()
{
    return { "large-call",
             [](const Plan &plan, const Guards &guards) { return runCall(plan, guards, 4); } };
}

Scenario repeatedCallScenario()
{
    return { "repeated-call", runRepeat };
}

} // namespace Lavenderpick::FaultMatrix
