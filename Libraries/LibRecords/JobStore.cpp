#include "lavenderpick/Records/JobStore.h"

#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

#include <charconv>

namespace Lavenderpick {

namespace {

constexpr std::size_t batch = 100;
constexpr Seconds writeDeadline { 6 }; // Three store operations at the client's timeout of 2 s.

// The fence at the end of a progress object's name; 0 for another name.
std::int64_t fenceOf(const std::string &name)
{
    const std::size_t dash = name.rfind('-');
    std::int64_t fence = 0;
    if (dash != std::string::npos)
        std::from_chars(name.data() + dash + 1, name.data() + name.size(), fence);
    return fence;
}

[[noreturn]] void throwFor(const WriteOutcome &outcome, const std::string &id)
{
    if (outcome.state == WriteState::Conflict)
        throw Error(ErrorKind::Conflict, "A job with id '" + id + "' exists",
                    "Submit the job under a new id.");
    if (outcome.state == WriteState::NotWritten)
        throw Error(ErrorKind::StoreUnavailable, "Job '" + id + "' was not stored",
                    "Submit it again when the store is back.");
    throw Error(ErrorKind::StoreOutcomeUnknown, "It is not known whether job '" + id + "' exists",
                "Look the job up by its id before submitting it again.");
}

} // namespace

JobStore::JobStore(Table &table, ObjectStore &objects, const Clock &clock, Random &random,
                   Seconds retention)
    : m_table(table)
    , m_objects(objects)
    , m_clock(clock)
    , m_random(random)
    , m_retention(retention)
{ }

std::string JobStore::newToken()
{
    const std::lock_guard lock(m_randomMutex);
    return newIdentifier(m_random, "w");
}

HeldJob JobStore::submit(const JobSubmission &submission, HolderLease &lease)
{
    HeldJob job { .record {
            .id = submission.id,
            .customer = submission.customer,
            .holder = lease.holder(),
            .token = newToken(),
            .request = submission.request,
            .submittedAt = m_clock.wallSeconds(),
            .deadlineAt = submission.deadlineAt,
            .expiresAt = submission.deadlineAt + m_retention.count(),
    } };
    // An id that is taken keeps its input.
    if (m_table.read(JobRecord::row(submission.id)))
        throwFor({ .state = WriteState::Conflict }, submission.id);
    m_objects.write(job.record.inputObject(), submission.input);
    const RowKey index = JobRecord::indexRow(lease.holder(), submission.id);
    const WriteOutcome outcome =
            lease.commit({ Write { JobRecord::row(submission.id), 0, job.record.toJson() },
                           Write { index, 0, nlohmann::json::object() } });
    const bool leaseGone = outcome.state == WriteState::Conflict && lease.isLost();
    if (leaseGone)
        throwFor({ .state = WriteState::NotWritten }, submission.id);
    if (outcome.state != WriteState::Applied)
        throwFor(outcome, submission.id);
    const auto version = versionAfter(outcome, job.record);
    if (!version)
        throwFor({ .state = WriteState::Unknown }, submission.id);
    job.version = *version;
    return job;
}

std::optional<RowVersion> JobStore::versionAfter(const WriteOutcome &outcome,
                                                 const JobRecord &written)
{
    if (!outcome.versions.empty())
        return outcome.versions.front();
    try {
        const auto row = m_table.read(JobRecord::row(written.id));
        if (row && row->value == written.toJson())
            return row->version;
    } catch (const Error &) {
        // The write took effect, so this must not look like a refusal.
    }
    return std::nullopt;
}

std::vector<Row> JobStore::indexRows(const std::string &holder)
{
    std::vector<Row> all;
    std::string after;
    while (true) {
        const auto rows = m_table.list("job-holder", holder + "/", after, batch, true);
        all.insert(all.end(), rows.begin(), rows.end());
        if (rows.size() < batch)
            return all;
        after = rows.back().key;
    }
}

std::vector<HeldJob> JobStore::takeOver(const Row &expired, HolderLease &lease)
{
    std::vector<HeldJob> taken;
    for (const Row &index : indexRows(expired.key)) {
        if (auto job = takeOverJob(index, expired.key, lease))
            taken.push_back(std::move(*job));
    }
    if (indexRows(expired.key).empty())
        m_table.transact({ Write { { "holder", expired.key }, expired.version, std::nullopt } });
    return taken;
}

std::optional<HeldJob> JobStore::takeOverJob(const Row &index, const std::string &formerHolder,
                                             HolderLease &lease)
{
    const std::string id = index.key.substr(formerHolder.size() + 1);
    auto job = readHeld(id, formerHolder);
    if (!job)
        return std::nullopt;
    job->record.holder = lease.holder();
    job->record.fence += 1;
    job->record.token = newToken();
    const WriteOutcome outcome = lease.commit(
            { Write { JobRecord::row(id), job->version, job->record.toJson() },
              Write { { "job-holder", index.key }, index.version, std::nullopt },
              Write { JobRecord::indexRow(lease.holder(), id), 0, nlohmann::json::object() } });
    // After an unknown outcome the job is found with `heldBy`.
    if (outcome.state != WriteState::Applied)
        return std::nullopt;
    const auto version = versionAfter(outcome, job->record);
    if (!version)
        return std::nullopt;
    job->version = *version;
    return job;
}

std::vector<HeldJob> JobStore::heldBy(const std::string &holder)
{
    std::vector<HeldJob> held;
    for (const Row &index : indexRows(holder)) {
        if (auto job = readHeld(index.key.substr(holder.size() + 1), holder))
            held.push_back(std::move(*job));
    }
    return held;
}

std::optional<HeldJob> JobStore::readHeld(const std::string &id, const std::string &holder)
{
    const auto row = m_table.read(JobRecord::row(id));
    if (!row)
        return std::nullopt;
    HeldJob job { .version = row->version, .record = JobRecord::parse(row->value) };
    if (job.record.holder != holder || job.record.state != JobState::Running)
        return std::nullopt;
    return job;
}

void JobStore::writeProgress(const HeldJob &job, std::string_view progress)
{
    m_objects.write(job.record.progressObject(), progress);
}

std::optional<std::string> JobStore::readProgress(const HeldJob &job)
{
    std::string newest;
    std::int64_t newestFence = 0;
    for (const auto &name : m_objects.list(JobRecord::objectPrefix(job.record.id) + "progress-")) {
        const std::int64_t fence = fenceOf(name);
        if (fence <= newestFence || fence > job.record.fence)
            continue;
        newest = name;
        newestFence = fence;
    }
    if (newest.empty())
        return std::nullopt;
    return m_objects.read(newest);
}

std::optional<std::string> JobStore::readInput(const HeldJob &job)
{
    return m_objects.read(job.record.inputObject());
}

WriteState JobStore::complete(const HeldJob &job, std::string_view result)
{
    const JobManifest manifest {
        .length = static_cast<std::int64_t>(result.size()),
        .digest = sha256(result),
        .fence = job.record.fence,
    };
    m_objects.write(job.record.resultObject(), result);
    m_objects.write(job.record.manifestObject(), manifest.toJson().dump());
    return finish(job, JobState::Done, "");
}

WriteState JobStore::fail(const HeldJob &job, const std::string &reason)
{
    return finish(job, JobState::Failed, reason);
}

WriteState JobStore::finish(const HeldJob &job, JobState state, const std::string &reason)
{
    JobRecord record = job.record;
    record.state = state;
    record.reason = reason;
    // Without a new token, so that a repeated call recognises what an earlier one wrote. No other
    // writer has this holder's token and fence.
    std::vector<Write> writes { { JobRecord::row(record.id), job.version, record.toJson() } };
    const RowKey index = JobRecord::indexRow(record.holder, record.id);
    if (const auto row = m_table.read(index))
        writes.push_back({ index, row->version, std::nullopt });
    const WriteOutcome outcome = settle(m_table, SettledWrite(std::move(writes)), m_clock,
                                        m_clock.now() + writeDeadline);
    return outcome.state;
}

std::optional<JobRecord> JobStore::read(const std::string &id)
{
    const auto row = m_table.read(JobRecord::row(id));
    if (!row)
        return std::nullopt;
    return JobRecord::parse(row->value);
}

std::optional<std::string> JobStore::result(const std::string &id)
{
    const auto record = read(id);
    if (!record || record->state != JobState::Done)
        return std::nullopt;
    const auto manifestText = m_objects.read(record->manifestObject());
    auto bytes = m_objects.read(record->resultObject());
    if (manifestText && bytes) {
        const auto manifest = JobManifest::parse(parseJson(*manifestText, "manifest of a job"));
        const bool whole = manifest.length == static_cast<std::int64_t>(bytes->size())
                && manifest.digest == sha256(*bytes) && manifest.fence == record->fence;
        if (whole)
            return bytes;
    }
    throw Error(ErrorKind::StoreUnavailable,
                "The stored result of job '" + id + "' does not match its manifest",
                "Fetch it again later; if that fails, submit the job again.");
}

void JobStore::sweepObjects(const JobRecord &finished)
{
    if (finished.state == JobState::Running)
        return;
    const bool hasResult = finished.state == JobState::Done;
    for (const auto &name : m_objects.list(JobRecord::objectPrefix(finished.id))) {
        const bool needed =
                hasResult && (name == finished.resultObject() || name == finished.manifestObject());
        if (!needed)
            m_objects.remove(name);
    }
}

std::size_t JobStore::sweepExpired(std::string &cursor)
{
    const std::vector<Row> rows = m_table.list("job", "", cursor, batch, false);
    std::size_t removed = 0;
    for (const Row &row : rows)
        removed += sweepRow(row) ? 1 : 0;
    cursor = rows.size() < batch ? std::string() : rows.back().key;
    return removed;
}

bool JobStore::sweepRow(const Row &row)
{
    const JobRecord record = JobRecord::parse(row.value);
    sweepObjects(record);
    // A running job is never removed: its holder, or the next one, fails it at its deadline first.
    if (record.state == JobState::Running || record.expiresAt > m_clock.wallSeconds())
        return false;
    for (const auto &name : m_objects.list(JobRecord::objectPrefix(record.id)))
        m_objects.remove(name);
    return m_table.transact({ Write { JobRecord::row(record.id), row.version, std::nullopt } })
            .applied;
}

} // namespace Lavenderpick
