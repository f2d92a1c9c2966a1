#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Platform/ObjectStore.h"
#include "lavenderpick/Records/HolderLease.h"
#include "lavenderpick/Records/JobRecord.h"

#include <mutex>

namespace Lavenderpick {

/// A job as its holder knows it. Each conditional write moves the version on.
struct HeldJob
{
    RowVersion version { 0 };
    JobRecord record {};

    bool operator==(const HeldJob &) const = default;
};

struct JobSubmission
{
    std::string id;
    std::string customer;
    nlohmann::json request {};
    std::string input {};          ///< The prompt.
    std::int64_t deadlineAt { 0 }; ///< Seconds since the Unix epoch.
};

/// Runs the job protocol over the platform's table and object store (J1, J3 to J7). Safe for
/// concurrent use. Functions throw the store's `Error` where they don't say otherwise, and all may
/// be called again after a failure.
class JobStore
{
public:
    JobStore(Table &table, ObjectStore &objects, const Clock &clock, Random &random,
             Seconds retention = Seconds(30 * 24 * 3600));

    /// J1: stores the input and creates the job under `lease`. Throws kind Conflict if the id is
    /// taken, StoreUnavailable if nothing was stored, and StoreOutcomeUnknown if the job may exist;
    /// it then runs, and can be looked up by its id.
    HeldJob submit(const JobSubmission &submission, HolderLease &lease);

    /// J5: takes over the running jobs of an expired holder and removes its lease when none is
    /// left. `expired` is the row of its lease as it was judged expired, `lease` that of the new
    /// holder. Jobs that another watcher took are left out.
    std::vector<HeldJob> takeOver(const Row &expired, HolderLease &lease);

    /// The running jobs of `holder`, read from the index. A holder calls it after a submission or
    /// take-over whose outcome was unknown, so that no job stays with a live holder unworked.
    std::vector<HeldJob> heldBy(const std::string &holder);

    /// J3: replaces this holder's progress object.
    void writeProgress(const HeldJob &job, std::string_view progress);

    /// The newest progress of this or an earlier holder, from which the work resumes.
    std::optional<std::string> readProgress(const HeldJob &job);
    std::optional<std::string> readInput(const HeldJob &job);

    /// J4: stores result and manifest, then moves the record to done. Conflict means that another
    /// holder took the job over; after NotWritten or Unknown the call is to be repeated.
    WriteState complete(const HeldJob &job, std::string_view result);

    /// Moves the record to failed. Results as of `complete`.
    WriteState fail(const HeldJob &job, const std::string &reason);

    std::optional<JobRecord> read(const std::string &id);

    /// J7: the whole result of a job that is done; nothing otherwise. Throws kind StoreUnavailable
    /// when the stored bytes do not match their manifest.
    std::optional<std::string> result(const std::string &id);

    /// Removes the objects of a finished job that its result does not need: input, progress, and
    /// what former holders left.
    void sweepObjects(const JobRecord &finished);

    /// Removes up to 100 expired jobs that follow `cursor`, with their objects, and moves the
    /// cursor; it is empty again at the end of the table. Also sweeps the objects of finished jobs
    /// on its way. Returns how many jobs were removed.
    std::size_t sweepExpired(std::string &cursor);

private:
    std::string newToken();
    WriteState finish(const HeldJob &job, JobState state, const std::string &reason);
    std::optional<HeldJob> takeOverJob(const Row &index, const std::string &formerHolder,
                                       HolderLease &lease);
    std::optional<HeldJob> readHeld(const std::string &id, const std::string &holder);
    std::optional<RowVersion> versionAfter(const WriteOutcome &outcome, const JobRecord &written);
    std::vector<Row> indexRows(const std::string &holder);
    bool sweepRow(const Row &row);

    Table &m_table;
    ObjectStore &m_objects;
    const Clock &m_clock;
    Random &m_random;
    std::mutex m_randomMutex;
    Seconds m_retention;
};

} // namespace Lavenderpick
