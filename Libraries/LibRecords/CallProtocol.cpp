#include "lavenderpick/Records/CallProtocol.h"

namespace Lavenderpick {

namespace {

CallRecord makeRecord(CallState state, const std::string &digest, const CallStamp &stamp)
{
    return CallRecord {
        .state = state,
        .digest = digest,
        .token = stamp.writerToken,
        .agent = stamp.agent,
        .startedAt = stamp.wallSeconds,
        .expiresAt = stamp.wallSeconds + stamp.retentionSeconds,
    };
}

SettledWrite makeCancelWrite(const CallKey &key, RowVersion expectedVersion,
                             const std::string &digest, const CallStamp &stamp)
{
    const CallRecord record = makeRecord(CallState::Cancelled, digest, stamp);
    return SettledWrite({ Write { key.row(), expectedVersion, record.toJson() } });
}

bool digestsDiffer(const std::string &left, const std::string &right)
{
    return !left.empty() && !right.empty() && left != right;
}

CallReply notRun(RefusalReason reason, RowVersion version = 0, const std::string &state = {})
{
    return CallReply { .ran = Ran::No, .reason = reason, .recordVersion = version, .state = state };
}

CallReply unknown(RefusalReason reason)
{
    return CallReply { .ran = Ran::Unknown, .reason = reason };
}

} // namespace

std::optional<VersionedCallRecord> callRecordOf(const std::optional<Row> &row)
{
    if (!row)
        return std::nullopt;
    return VersionedCallRecord { row->version, CallRecord::parse(row->value) };
}

CallReply CallReply::fromRecord(const VersionedCallRecord &found)
{
    const CallRecord &record = found.record;
    CallReply reply {
        .recordVersion = found.version,
        .state = std::string(toString(record.state)),
    };
    if (record.state == CallState::Cancelled) {
        reply.ran = Ran::No;
        reply.reason = RefusalReason::Cancelled;
    } else if (record.state == CallState::Done) {
        reply.ran = Ran::Yes;
        reply.status = record.status;
        reply.body = record.body;
        reply.contentType = record.contentType;
        reply.bodyObject = record.bodyObject;
    }
    return reply;
}

CallExecution::CallExecution(CallRequest request, CallStamp stamp)
    : m_request(std::move(request))
    , m_stamp(std::move(stamp))
{
    m_started.version = m_request.expectedVersion;
    m_started.record = makeRecord(CallState::Started, m_request.digest, m_stamp);
}

SettledWrite CallExecution::write() const
{
    const CallRecord &record = m_step == Step::Claim ? m_started.record : m_outcome;
    const CallKey key { m_request.customer, m_request.key };
    return SettledWrite({ Write { key.row(), m_started.version, record.toJson() } });
}

void CallExecution::onClaimed(const WriteOutcome &outcome)
{
    switch (outcome.state) {
    case WriteState::Applied:
        m_started.version = outcome.version;
        m_step = Step::Send;
        return;
    case WriteState::Conflict:
        m_step = Step::Finished;
        refuse(outcome);
        return;
    case WriteState::NotWritten:
        m_step = Step::Finished;
        m_reason = RefusalReason::StoreUnavailable;
        m_answer.ran = Ran::No;
        return;
    case WriteState::Unknown:
        // The claim may stand, but only this execution could send and it no longer does.
        onNotSent(RefusalReason::StoreUnavailable);
        return;
    }
}

void CallExecution::onRepeatedDelivery()
{
    m_answer.ran = Ran::Unknown;
    m_step = Step::Finished;
}

void CallExecution::refuse(const WriteOutcome &outcome)
{
    const auto found = callRecordOf(outcome.found);
    m_answer.ran = Ran::No;
    m_reason = RefusalReason::Cancelled;
    if (!found)
        return;
    m_answer.digest = found->record.digest;
    m_answer.recordVersion = found->version;
    m_answer.state = toString(found->record.state);
    if (digestsDiffer(found->record.digest, m_request.digest))
        m_reason = RefusalReason::KeyReused;
    else
        answerFromRecord(*found);
}

void CallExecution::answerFromRecord(const VersionedCallRecord &found)
{
    const CallReply reply = CallReply::fromRecord(found);
    m_reason = reply.reason;
    m_answer.ran = reply.ran;
    m_answer.status = reply.status;
    m_answer.body = reply.body;
    m_answer.contentType = reply.contentType;
    m_answerObject = reply.bodyObject;
}

void CallExecution::onNotSent(RefusalReason reason)
{
    m_reason = reason;
    m_answer = CallAnswer { .ran = Ran::No };
    m_outcome = m_started.record;
    m_outcome.state = CallState::Cancelled;
    m_request.body.clear();
    m_step = Step::Record;
}

void CallExecution::onServiceResult(const ServiceResult &result)
{
    if (result.kind == ServiceResult::Kind::NotSent) {
        onNotSent(RefusalReason::UpstreamFailed);
        return;
    }
    m_request.body.clear();
    m_answer = CallAnswer {
        .ran = Ran::Unknown,
        .state = std::string(toString(CallState::Started)),
        .recordVersion = m_started.version,
        .digest = m_request.digest,
    };
    if (result.kind == ServiceResult::Kind::Unknown) {
        m_step = Step::Finished;
        return;
    }
    m_answer.ran = Ran::Yes;
    m_answer.status = result.status;
    m_answer.body = result.body;
    m_answer.contentType = result.contentType;
    m_outcome = m_started.record;
    m_outcome.state = CallState::Done;
    m_outcome.status = result.status;
    m_outcome.body = result.body;
    m_outcome.contentType = result.contentType;
    m_step = Step::Record;
}

void CallExecution::useBodyObject(const std::string &bodyObject)
{
    m_outcome.bodyObject = bodyObject;
    m_outcome.body.clear();
}

void CallExecution::useAnswerBody(const CallReply &loaded)
{
    m_answer.ran = loaded.ran;
    m_answer.body = loaded.body;
    if (loaded.ran != Ran::Yes) {
        m_answer.status = 0;
        m_reason = loaded.reason;
    }
}

void CallExecution::onRecorded(const WriteOutcome &outcome)
{
    if (outcome.state == WriteState::Applied) {
        m_answer.state = toString(m_outcome.state);
        m_answer.recordVersion = outcome.version;
        m_step = Step::Finished;
    } else if (outcome.state == WriteState::Conflict) {
        // A claim whose answer was lost turns up here with its own token: cancel that version.
        const auto found = callRecordOf(outcome.found);
        const bool ownClaim = found && found->record == m_started.record;
        if (ownClaim)
            m_started.version = found->version;
        else
            m_step = Step::Finished;
    }
}

CallDispatch::CallDispatch(CallRequest request, std::int64_t arrivedAt)
    : m_request(std::move(request))
    , m_arrivedAt(arrivedAt)
{ }

void CallDispatch::onAnswer(const CallAnswer &answer)
{
    const bool refused = answer.ran == Ran::No;
    if (refused && digestsDiffer(answer.digest, m_request.digest)) {
        finish(notRun(RefusalReason::KeyReused, answer.recordVersion, answer.state));
    } else if (refused && answer.state == toString(CallState::Cancelled)) {
        m_step = Step::Read;
    } else if (answer.ran == Ran::Unknown && answer.state.empty()) {
        m_step = Step::Cancel;
    } else {
        finish(CallReply {
                .ran = answer.ran,
                .status = answer.status,
                .body = answer.body,
                .contentType = answer.contentType,
                .recordVersion = answer.recordVersion,
                .state = answer.state,
        });
    }
}

void CallDispatch::onNoAnswer()
{
    m_step = Step::Cancel;
}

SettledWrite CallDispatch::cancelWrite(const CallStamp &stamp) const
{
    return makeCancelWrite(key(), m_request.expectedVersion, m_request.digest, stamp);
}

void CallDispatch::onCancelled(const WriteOutcome &outcome)
{
    switch (outcome.state) {
    case WriteState::Applied:
        finish(notRun(RefusalReason::DeadlineExceeded, outcome.version,
                      std::string(toString(CallState::Cancelled))));
        return;
    case WriteState::Conflict:
        // An absent record is one that expired: the attempt's version will never return.
        if (const auto found = callRecordOf(outcome.found))
            finish(digestsDiffer(found->record.digest, m_request.digest)
                           ? notRun(RefusalReason::KeyReused, found->version)
                           : CallReply::fromRecord(*found));
        else
            finish(notRun(RefusalReason::Cancelled));
        return;
    case WriteState::NotWritten:
    case WriteState::Unknown:
        finish(unknown(RefusalReason::StoreUnavailable));
        return;
    }
}

void CallDispatch::onRead(const std::optional<VersionedCallRecord> &found)
{
    if (!found) {
        m_step = Step::Cancel;
    } else if (digestsDiffer(found->record.digest, m_request.digest)) {
        finish(notRun(RefusalReason::KeyReused, found->version));
    } else if (found->record.state == CallState::Cancelled && isRepeatOf(found->record)) {
        m_request.expectedVersion = found->version;
        m_step = Step::Send;
    } else {
        finish(CallReply::fromRecord(*found));
    }
}

bool CallDispatch::isRepeatOf(const CallRecord &cancelled) const
{
    // Someone may have been told "not run" on the strength of this cancellation. A request that
    // reached its entry earlier, and then stood still, must not run after that.
    return m_arrivedAt > cancelled.startedAt + maximumClockSkewSeconds;
}

void CallDispatch::onReadFailed()
{
    // The agent refused on account of a cancelled record, so this attempt can't start.
    finish(notRun(RefusalReason::StoreUnavailable));
}

void CallDispatch::finish(const CallReply &reply)
{
    m_reply = reply;
    m_step = Step::Finished;
}

CallLookUp::CallLookUp(CallKey key)
    : m_key(std::move(key))
{ }

void CallLookUp::onRead(const std::optional<VersionedCallRecord> &found)
{
    if (found)
        finish(CallReply::fromRecord(*found));
    else
        m_step = Step::Cancel;
}

void CallLookUp::onReadFailed()
{
    finish(unknown(RefusalReason::StoreUnavailable));
}

SettledWrite CallLookUp::cancelWrite(const CallStamp &stamp) const
{
    return makeCancelWrite(m_key, 0, "", stamp);
}

void CallLookUp::onCancelled(const WriteOutcome &outcome)
{
    const auto found = callRecordOf(outcome.found);
    if (outcome.state == WriteState::Applied)
        finish(notRun(RefusalReason::Cancelled, outcome.version,
                      std::string(toString(CallState::Cancelled))));
    else if (outcome.state == WriteState::Conflict && found)
        finish(CallReply::fromRecord(*found));
    else
        finish(unknown(RefusalReason::StoreUnavailable));
}

void CallLookUp::finish(const CallReply &reply)
{
    m_reply = reply;
    m_step = Step::Finished;
}

} // namespace Lavenderpick
