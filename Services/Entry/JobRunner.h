#pragma once

#include "Services/Entry/AgentDirectory.h"
#include "Services/Entry/CompletionService.h"
#include "Services/Entry/EntryContext.h"
#include "lavenderpick/Records/HolderLease.h"
#include "lavenderpick/Records/HolderWatch.h"
#include "lavenderpick/Records/JobStore.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Lavenderpick {

/// Holds jobs under this entry's lease and runs them, and takes over those of expired holders
/// (section 5.4). Safe for concurrent use.
class JobRunner
{
public:
    JobRunner(const EntryContext &context, Table &table, ObjectStore &objects,
              AgentDirectory &directory, CompletionService &completions);
    ~JobRunner();

    /// J1. Throws `ProblemError` when too many jobs are held here, and the store's `Error`. After
    /// StoreOutcomeUnknown the job may exist and is found by `renew`.
    JobRecord submit(const std::string &id, const std::string &customer,
                     const CompletionRequest &request);

    JobStore &store() { return m_store; }

    /// J2: renews the lease while jobs are held. Call it every `holderRenewal`.
    void renew();

    /// J5: looks for expired holders and takes over their jobs. Call it every `holderScan`.
    void watchHolders();

    /// Stops work at the next token or heartbeat. Unfinished jobs keep their progress, and another
    /// entry resumes them.
    void stop();

    nlohmann::json toJson() const;

private:
    class Receiver;

    std::shared_ptr<HolderLease> lease();
    void enqueue(const HeldJob &job, const std::shared_ptr<HolderLease> &lease);
    void workUntilStopped();
    void runJob(const HeldJob &job, const std::shared_ptr<HolderLease> &lease);
    bool runOnce(const HeldJob &job, HolderLease &lease);
    CompletionOutcome runCompletion(const HeldJob &job, HolderLease &lease);
    bool finish(const HeldJob &job, const CompletionOutcome &outcome);
    AdmittedCompletion admit(const HeldJob &job);
    bool pause(Duration duration);

    EntryContext m_context;
    Table &m_table;
    JobStore m_store;
    AgentDirectory &m_directory;
    CompletionService &m_completions;
    HolderWatch m_watch;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<HolderLease> m_lease;
    struct Waiting
    {
        HeldJob job;
        std::shared_ptr<HolderLease> lease;
    };
    std::deque<Waiting> m_waiting;
    std::set<std::string> m_held; ///< Ids of jobs that wait or run here.
    bool m_resync { false };      ///< A write of which the outcome is unknown may have added jobs.
    std::atomic<bool> m_stopping { false };
    std::vector<std::thread> m_threads;
};

} // namespace Lavenderpick
