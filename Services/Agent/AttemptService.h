#pragma once

#include "Services/Agent/AgentSettings.h"
#include "Services/Agent/AttemptRun.h"
#include "lavenderpick/Base/Metrics.h"
#include "lavenderpick/Document/DocumentReplica.h"

#include <atomic>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace Lavenderpick {

/// Serves `/internal/attempts`. Safe for concurrent use.
class AttemptService
{
public:
    AttemptService(const AgentCaps &caps, Engine &engine, UpstreamGate &gate,
                   const DocumentReplica &document, const Clock &clock, Metrics &metrics);

    /// Cancels what still runs and joins all readers.
    ~AttemptService();

    /// Admits the attempt and streams its events. Throws `ProblemError` when it is refused.
    void create(const AttemptRequest &request, httplib::Response &response);

    /// Streams the events from `from`. Throws `ProblemError` for an unknown attempt.
    void resume(const std::string &attemptId, std::int64_t from, httplib::Response &response);

    /// The caller of the request is gone.
    void cancel(const std::string &attemptId);

    /// Cancels expired attempts, starts waiting ones and removes old ones; call it several times a
    /// second.
    void maintain();

    /// Ends all running attempts for their readers: the engine does not respond, or the grace
    /// period of a plan has ended.
    void failAll(RefusalReason reason);

    /// Attempts that a graceful shutdown waits for.
    std::size_t openCount() const;

    /// Streams that the engine shall keep.
    std::set<std::string> claims() const;

private:
    struct Reader;

    std::int64_t rankOf(const AttemptRequest &request) const;
    std::shared_ptr<AttemptRun> find(const std::string &attemptId) const;
    std::shared_ptr<AttemptRun> add(const AttemptRequest &request, std::int64_t enginePriority);
    void admit(const AttemptRequest &request, AttemptRun &run, std::int64_t rank);
    void startRun(const std::string &attemptId);
    void stream(const std::shared_ptr<AttemptRun> &run, const std::string &attemptId,
                std::int64_t from, httplib::Response &response);
    void onEnded(const std::string &attemptId);
    void onDelivered(const std::string &attemptId);
    void remove(const std::string &attemptId);

    Engine &m_engine;
    UpstreamGate &m_gate;
    const DocumentReplica &m_document;
    const Clock &m_clock;
    Metrics &m_metrics;
    mutable std::mutex m_mutex;
    AttemptTable m_table;
    std::map<std::string, std::shared_ptr<AttemptRun>> m_runs;
    std::atomic<bool> m_stopping { false };
};

} // namespace Lavenderpick
