#include "lavenderpick/Records/CallRecords.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

constexpr std::size_t sweepBatch = 100;

// The table client's timeout: one store operation may take this long.
constexpr Seconds storeTimeout { 2 };

std::string bodyObjectName(const CallExecution &execution)
{
    const CallKey key { execution.request().customer, execution.request().key };
    return "call-body/" + key.row().key + "/" + execution.started().record.token;
}

} // namespace

CallRecords::CallRecords(Table &table, ObjectStore &objects, const Clock &clock, Random &random,
                         CallRecordsSettings settings)
    : m_table(table)
    , m_objects(objects)
    , m_clock(clock)
    , m_random(random)
    , m_settings(std::move(settings))
    , m_backlog(m_settings.backlogBytes)
    , m_gate(clock.wallSeconds())
{ }

std::string CallRecords::newAttemptToken()
{
    const std::lock_guard lock(m_randomMutex);
    return newCallToken(m_random, m_clock.wallSeconds());
}

CallStamp CallRecords::makeStamp()
{
    const std::lock_guard lock(m_randomMutex);
    return CallStamp {
        .writerToken = newIdentifier(m_random, "w"),
        .agent = m_settings.agent,
        .wallSeconds = m_clock.wallSeconds(),
        .retentionSeconds = m_settings.retention.count(),
    };
}

bool CallRecords::noteRefusal(const CallRequest &request)
{
    return m_gate.admit(request.token, m_clock.wallSeconds());
}

CallExecution CallRecords::claimStart(const CallRequest &request, TimePoint deadline)
{
    CallExecution execution(request, makeStamp());
    if (!m_gate.admit(request.token, m_clock.wallSeconds())) {
        execution.onRepeatedDelivery();
        return execution;
    }
    execution.onClaimed(settle(m_table, execution.write(), m_clock, deadline));
    if (execution.step() == CallExecution::Step::Send && m_clock.now() >= deadline)
        execution.onNotSent(RefusalReason::DeadlineExceeded);
    if (execution.step() == CallExecution::Step::Record)
        recordOrQueue(execution);
    if (!execution.answerObject().empty()) {
        CallReply reply { .ran = Ran::Yes, .bodyObject = execution.answerObject() };
        completeReply(reply);
        execution.useAnswerBody(reply);
    }
    return execution;
}

bool CallRecords::recordOutcome(CallExecution &execution, const ServiceResult &result)
{
    execution.onServiceResult(result);
    return recordOrQueue(execution);
}

bool CallRecords::recordNotSent(CallExecution &execution, RefusalReason reason)
{
    execution.onNotSent(reason);
    return recordOrQueue(execution);
}

bool CallRecords::recordOrQueue(CallExecution &execution)
{
    // The response waits for one write at most. If that does not settle it, the backlog does.
    const TimePoint afterOneWrite = m_clock.now() + Milliseconds(1);
    if (execution.step() == CallExecution::Step::Finished || tryRecord(execution, afterOneWrite))
        return true;
    if (!m_backlog.add(execution)) {
        log(LogLevel::Error, "CallRecords",
            "The backlog of outcomes is full; callers will see this call as unknown",
            { { "request_id", execution.request().requestId } });
    }
    return false;
}

bool CallRecords::tryRecord(CallExecution &execution, TimePoint deadline)
{
    if (m_clock.wallSeconds() >= execution.started().record.expiresAt)
        return true;
    try {
        if (execution.outcome().body.size() > m_settings.inlineBodyBytes) {
            const std::string name = bodyObjectName(execution);
            m_objects.write(name, execution.outcome().body);
            execution.useBodyObject(name);
        }
    } catch (const Error &) {
        return false;
    }
    // Two rounds suffice: the second cancels the version of a claim that the first one found.
    for (int round = 0; round < 2 && execution.step() == CallExecution::Step::Record; ++round)
        execution.onRecorded(settle(m_table, execution.write(), m_clock, deadline));
    return execution.step() == CallExecution::Step::Finished;
}

std::size_t CallRecords::drainBacklog()
{
    return m_backlog.drain([this](CallExecution &execution) {
        return tryRecord(execution, m_clock.now() + 3 * storeTimeout);
    });
}

CallReply CallRecords::cancel(const CallKey &key, RowVersion expectedVersion,
                              const std::string &digest, TimePoint deadline)
{
    CallRequest request;
    request.customer = key.customer;
    request.key = key.key;
    request.digest = digest;
    request.expectedVersion = expectedVersion;
    CallDispatch dispatch(std::move(request), m_clock.wallSeconds());
    dispatch.onNoAnswer();
    dispatch.onCancelled(settle(m_table, dispatch.cancelWrite(makeStamp()), m_clock, deadline));
    CallReply reply = dispatch.reply();
    completeReply(reply);
    return reply;
}

CallReply CallRecords::lookUp(const CallKey &key, TimePoint deadline)
{
    CallLookUp lookUp(key);
    try {
        lookUp.onRead(read(key));
    } catch (const Error &) {
        lookUp.onReadFailed();
    }
    if (lookUp.step() == CallLookUp::Step::Cancel)
        lookUp.onCancelled(settle(m_table, lookUp.cancelWrite(makeStamp()), m_clock, deadline));
    CallReply reply = lookUp.reply();
    completeReply(reply);
    return reply;
}

CallReply CallRecords::dispatch(CallDispatch dispatch, const SendToAgent &send, TimePoint deadline)
{
    while (dispatch.step() != CallDispatch::Step::Finished)
        stepDispatch(dispatch, send, deadline);
    CallReply reply = dispatch.reply();
    completeReply(reply);
    return reply;
}

void CallRecords::stepDispatch(CallDispatch &dispatch, const SendToAgent &send, TimePoint deadline)
{
    switch (dispatch.step()) {
    case CallDispatch::Step::Send: {
        // Leaves time for one store operation, so that a timeout can still be settled.
        const Duration remaining = std::max(deadline - m_clock.now(), Duration::zero());
        const Duration reserve = std::min<Duration>(storeTimeout, remaining / 2);
        CallRequest request = dispatch.request();
        request.token = newAttemptToken();
        request.deadlineMilliseconds = toMilliseconds(remaining - reserve);
        if (const auto answer = send(request))
            dispatch.onAnswer(*answer);
        else
            dispatch.onNoAnswer();
        return;
    }
    case CallDispatch::Step::Cancel:
        dispatch.onCancelled(settle(m_table, dispatch.cancelWrite(makeStamp()), m_clock, deadline));
        return;
    case CallDispatch::Step::Read:
        try {
            dispatch.onRead(read(dispatch.key()));
        } catch (const Error &) {
            dispatch.onReadFailed();
        }
        return;
    case CallDispatch::Step::Finished:
        return;
    }
}

std::optional<VersionedCallRecord> CallRecords::read(const CallKey &key) const
{
    return callRecordOf(m_table.read(key.row()));
}

void CallRecords::completeReply(CallReply &reply) const
{
    if (reply.bodyObject.empty())
        return;
    try {
        if (const auto body = m_objects.read(reply.bodyObject)) {
            reply.body = *body;
            reply.bodyObject.clear();
            return;
        }
    } catch (const Error &) {
        // Falls through to the reply without a body.
    }
    // The call ran, but its response can't be shown now: an empty body would look complete.
    reply.ran = Ran::Unknown;
    reply.status = 0;
    reply.reason = RefusalReason::StoreUnavailable;
}

std::size_t CallRecords::sweepExpired(std::string &cursor)
{
    const std::vector<Row> rows = m_table.list("call", "", cursor, sweepBatch, false);
    std::vector<Write> deletions;
    for (const Row &row : rows) {
        const CallRecord record = CallRecord::parse(row.value);
        if (record.expiresAt > m_clock.wallSeconds())
            continue;
        if (!record.bodyObject.empty())
            m_objects.remove(record.bodyObject);
        deletions.push_back({ { "call", row.key }, row.version, std::nullopt });
    }
    if (!deletions.empty() && !m_table.transact(deletions).applied)
        return 0; // A record of the batch changed meanwhile; the cursor stays for another round.
    cursor = rows.size() < sweepBatch ? std::string() : rows.back().key;
    return deletions.size();
}

} // namespace Lavenderpick
