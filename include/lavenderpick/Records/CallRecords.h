#pragma once

#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Platform/ObjectStore.h"
#include "lavenderpick/Records/AttemptGate.h"
#include "lavenderpick/Records/CallProtocol.h"
#include "lavenderpick/Records/OutcomeBacklog.h"

#include <functional>
#include <mutex>

namespace Lavenderpick {

struct CallRecordsSettings
{
    std::string agent {}; ///< Name written into the records that this process starts.
    Seconds retention { 7 * 24 * 3600 };
    std::size_t inlineBodyBytes { 32 * 1024 }; ///< Larger bodies go to the object store.
    std::size_t backlogBytes { 16 * 1024 * 1024 };
};

/// Runs the call protocol over the platform's table and object store. Safe for concurrent use.
///
/// Store failures do not throw: they end as "not run" when that is proven, otherwise as "unknown".
class CallRecords
{
public:
    CallRecords(Table &table, ObjectStore &objects, const Clock &clock, Random &random,
                CallRecordsSettings settings);

    /// Call this before an agent refuses a call as "not run" that it does not pass to `claimStart`,
    /// for example because it drains. Returns false for a repeated delivery: the refusal must then
    /// be answered as unknown, since it says nothing of the first delivery.
    bool noteRefusal(const CallRequest &request);

    /// C2: claims the start. The call may be sent exactly if the returned execution's step is Send;
    /// otherwise its `answer()` is due.
    CallExecution claimStart(const CallRequest &request, TimePoint deadline);

    /// C4: passes on the service's result and records it. When the store does not take it, the
    /// write joins the backlog; `answer()` is due in any case. Returns whether it is recorded.
    bool recordOutcome(CallExecution &execution, const ServiceResult &result);

    /// Gives back a claimed start that was not sent, so that the call can start again.
    bool recordNotSent(CallExecution &execution, RefusalReason reason);

    /// C6: cancels an attempt that did not answer, or reads what became of it.
    CallReply cancel(const CallKey &key, RowVersion expectedVersion, const std::string &digest,
                     TimePoint deadline);

    /// C7.
    CallReply lookUp(const CallKey &key, TimePoint deadline);

    /// C1 to C6: runs a dispatch to its end; each send has a fresh token. `send` sends to an agent
    /// of its choice; it returns nothing when there was no answer or none that proves anything.
    using SendToAgent = std::function<std::optional<CallAnswer>(const CallRequest &)>;
    CallReply dispatch(CallDispatch dispatch, const SendToAgent &send, TimePoint deadline);

    /// Tries the backlog of outcome writes once; call it every few seconds and before exit. Returns
    /// how many remain.
    std::size_t drainBacklog();
    std::size_t backlogSize() const { return m_backlog.size(); }

    /// Deletes up to 100 expired records that follow `cursor` and moves it; an empty cursor starts
    /// at the beginning and is empty again at the end of the table. Returns how many were deleted.
    std::size_t sweepExpired(std::string &cursor);

private:
    CallStamp makeStamp();
    std::string newAttemptToken();
    bool tryRecord(CallExecution &execution, TimePoint deadline);
    bool recordOrQueue(CallExecution &execution);
    std::optional<VersionedCallRecord> read(const CallKey &key) const;
    void completeReply(CallReply &reply) const;
    void stepDispatch(CallDispatch &dispatch, const SendToAgent &send, TimePoint deadline);

    Table &m_table;
    ObjectStore &m_objects;
    const Clock &m_clock;
    Random &m_random;
    std::mutex m_randomMutex;
    CallRecordsSettings m_settings;
    OutcomeBacklog m_backlog;
    AttemptGate m_gate;
};

} // namespace Lavenderpick
