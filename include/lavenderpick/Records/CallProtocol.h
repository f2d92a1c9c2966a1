#pragma once

#include "lavenderpick/Protocol/CallMessages.h"
#include "lavenderpick/Records/CallRecord.h"
#include "lavenderpick/Records/SettledWrite.h"

#include <optional>

namespace Lavenderpick {

/// How far wall clocks of two VMs may differ. A repeat that arrives within this time of a
/// cancellation is told "not run" once more instead of starting.
constexpr std::int64_t maximumClockSkewSeconds = 2;

/// What the writer of a record state puts into it besides the call itself.
struct CallStamp
{
    std::string writerToken; ///< Unique to this writer and write; never taken from a message.
    std::string agent {};
    std::int64_t wallSeconds { 0 };
    std::int64_t retentionSeconds { 7 * 24 * 3600 };
};

/// What is known of a call; the content of the entry's response.
struct CallReply
{
    Ran ran { Ran::Unknown };
    int status { 0 }; ///< HTTP status of the service; 0 unless `ran` is yes.
    std::string body {};
    std::string contentType {};
    std::string bodyObject {};                              ///< Set until a large body is loaded.
    RefusalReason reason { RefusalReason::UpstreamFailed }; ///< Unless `ran` is yes.
    RowVersion recordVersion { 0 };
    std::string state {}; ///< State of the record; empty when absent or not known.

    bool operator==(const CallReply &) const = default;

    /// What the record proves: done gives the outcome, started "unknown", cancelled "not run".
    static CallReply fromRecord(const VersionedCallRecord &found);
};

/// What the service said to the one request that the agent sent.
struct ServiceResult
{
    enum class Kind {
        Answered,
        NotSent, ///< Proven: no byte of the request left, for example the connection was refused.
        Unknown, ///< The service may have run the call.
    };
    Kind kind { Kind::Unknown };
    int status { 0 };
    std::string body {};
    std::string contentType {};
};

/// The agent's side of one non-idempotent call (C2 to C5): claims the start, sends once, records
/// the outcome. Performs no I/O.
///
/// Each delivered `CallRequest` needs its own execution with a fresh `CallStamp::writerToken`. The
/// token of the message isn't enough: a duplicated message would take the start that its twin
/// claimed for its own and send the call twice.
class CallExecution
{
public:
    enum class Step {
        Claim,    ///< Perform `write()`, then `onClaimed`.
        Send,     ///< Send the call to the service once, then `onServiceResult`.
        Record,   ///< `answer()` is due; perform `write()` until it is settled, then `onRecorded`.
        Finished, ///< `answer()` is due.
    };

    CallExecution(CallRequest request, CallStamp stamp);

    Step step() const { return m_step; }
    SettledWrite write() const;

    void onClaimed(const WriteOutcome &outcome);

    /// Instead of a claim: another copy of the message was here before (see `AttemptGate`). The
    /// answer is "unknown" without a state, which makes the entry settle the call by itself.
    void onRepeatedDelivery();

    /// Ends a claimed call that was not sent, because its deadline passed or the upstream drains.
    void onNotSent(RefusalReason reason);
    void onServiceResult(const ServiceResult &result);

    /// `bodyObject` names the object that holds the body, if the driver stored it there.
    void useBodyObject(const std::string &bodyObject);
    void onRecorded(const WriteOutcome &outcome);

    /// The answer to the entry.
    const CallAnswer &answer() const { return m_answer; }
    RefusalReason reason() const { return m_reason; }
    const CallRecord &outcome() const { return m_outcome; }

    /// The object that holds the body of an answer found in the record; empty otherwise.
    const std::string &answerObject() const { return m_answerObject; }

    /// Takes over the loaded body; `ran` becomes unknown if the driver could not load it.
    void useAnswerBody(const CallReply &loaded);
    const CallRequest &request() const { return m_request; }
    const VersionedCallRecord &started() const { return m_started; }

private:
    void refuse(const WriteOutcome &outcome);
    void answerFromRecord(const VersionedCallRecord &found);

    CallRequest m_request;
    CallStamp m_stamp;
    Step m_step { Step::Claim };
    VersionedCallRecord m_started {};
    CallRecord m_outcome {};
    CallAnswer m_answer {};
    std::string m_answerObject {};
    RefusalReason m_reason { RefusalReason::UpstreamFailed };
};

/// The entry's side of one submitted call (C1, C5, C6). Performs no I/O.
class CallDispatch
{
public:
    enum class Step {
        Send,     ///< Send `request()` to an agent, then `onAnswer` or `onNoAnswer`.
        Cancel,   ///< Perform `cancelWrite()`, then `onCancelled`.
        Read,     ///< Read the record, then `onRead` or `onReadFailed`.
        Finished, ///< `reply()` is due.
    };

    /// `arrivedAt` is when the caller's request arrived, in seconds since the Unix epoch.
    CallDispatch(CallRequest request, std::int64_t arrivedAt);

    Step step() const { return m_step; }
    const CallRequest &request() const { return m_request; }
    CallKey key() const { return { m_request.customer, m_request.key }; }

    void onAnswer(const CallAnswer &answer);

    /// No answer, or one that proves nothing: the attempt may still start.
    void onNoAnswer();

    SettledWrite cancelWrite(const CallStamp &stamp) const;
    void onCancelled(const WriteOutcome &outcome);
    void onRead(const std::optional<VersionedCallRecord> &found);
    void onReadFailed();

    const CallReply &reply() const { return m_reply; }

private:
    void finish(const CallReply &reply);
    bool isRepeatOf(const CallRecord &cancelled) const;

    CallRequest m_request;
    std::int64_t m_arrivedAt;
    Step m_step { Step::Send };
    CallReply m_reply {};
};

/// The look-up of a call by its key at any entry (C7). Performs no I/O.
class CallLookUp
{
public:
    enum class Step {
        Read,
        Cancel,
        Finished,
    };

    explicit CallLookUp(CallKey key);

    Step step() const { return m_step; }
    void onRead(const std::optional<VersionedCallRecord> &found);
    void onReadFailed();

    /// Moves an absent record to cancelled, so that no attempt under way can start any more.
    SettledWrite cancelWrite(const CallStamp &stamp) const;
    void onCancelled(const WriteOutcome &outcome);

    const CallReply &reply() const { return m_reply; }

private:
    void finish(const CallReply &reply);

    CallKey m_key;
    Step m_step { Step::Read };
    CallReply m_reply {};
};

/// The record in a row that a write or read found, if any. Throws `Error` of kind InvalidMessage.
std::optional<VersionedCallRecord> callRecordOf(const std::optional<Row> &row);

} // namespace Lavenderpick
