#include "Services/Entry/JobRunner.h"

#include "Services/Entry/CompletionFormat.h"
#include "Services/Entry/JobProgress.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

constexpr Seconds checkpointPeriod { 10 };
constexpr Seconds retryPause { 1 };
constexpr std::size_t holderListLimit = 1'000; ///< Three times the entries of the target size.
// Jobs that wait here for one that runs; more are refused, so that other entries get them.
constexpr std::size_t waitingPerRunning = 16;

// The job may succeed later, so it is tried again until its deadline.
bool isTemporary(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::BodyTooLarge:
    case RefusalReason::Forbidden:
    case RefusalReason::UnknownModel:
    case RefusalReason::DeadlineExceeded:
        return false;
    default:
        return true;
    }
}

} // namespace

/// Stores progress while the text arrives.
class JobRunner::Receiver final : public CompletionReceiver
{
public:
    Receiver(JobRunner &runner, const HeldJob &job, const HolderLease &lease, JobProgress progress)
        : m_runner(runner)
        , m_job(job)
        , m_lease(lease)
        , m_progress(std::move(progress))
        , m_storedAt(runner.m_context.clock.now())
    { }

    bool onText(const std::string &text) override
    {
        m_progress.text += text;
        ++m_progress.tokens;
        if (m_runner.m_context.clock.now() - m_storedAt >= checkpointPeriod)
            storeProgress();
        return isOpen();
    }

    // J6: without a valid lease another entry may already run the job.
    bool isOpen() override { return m_lease.isHeld() && !m_runner.m_stopping; }

    const JobProgress &progress() const { return m_progress; }

    void storeProgress()
    {
        m_storedAt = m_runner.m_context.clock.now();
        try {
            m_runner.m_store.writeProgress(m_job, m_progress.toText());
        } catch (const Error &error) {
            log(LogLevel::Info, "job", error.what(), { { "job", m_job.record.id } });
        }
    }

private:
    JobRunner &m_runner;
    const HeldJob &m_job;
    const HolderLease &m_lease;
    JobProgress m_progress;
    TimePoint m_storedAt;
};

JobRunner::JobRunner(const EntryContext &context, Table &table, ObjectStore &objects,
                     AgentDirectory &directory, CompletionService &completions)
    : m_context(context)
    , m_table(table)
    , m_store(table, objects, context.clock, context.random)
    , m_directory(directory)
    , m_completions(completions)
    , m_watch(context.settings.name)
{
    for (std::int64_t thread = 0; thread < context.settings.caps.jobs; ++thread)
        m_threads.emplace_back([this] { workUntilStopped(); });
}

JobRunner::~JobRunner()
{
    stop();
}

JobRecord JobRunner::submit(const std::string &id, const std::string &customer,
                            const CompletionRequest &request)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_held.size() >= m_threads.size() * waitingPerRunning)
            throw ProblemError({ .reason = RefusalReason::QueueFull,
                                 .detail = "This entry holds too many jobs. Try again later.",
                                 .retryAfterSeconds = 5 });
    }
    nlohmann::json parameters = request.toJson();
    parameters.erase("prompt");
    const std::int64_t milliseconds = request.deadlineMilliseconds.value_or(
            toMilliseconds(m_context.settings.caps.defaultJobDeadline));
    const JobSubmission submission {
        .id = id,
        .customer = customer,
        .request = std::move(parameters),
        .input = request.prompt,
        .deadlineAt = m_context.clock.wallSeconds()
                + std::min(milliseconds, toMilliseconds(m_context.settings.caps.maximumJobDeadline))
                        / 1000,
    };
    const auto current = lease();
    try {
        const HeldJob job = m_store.submit(submission, *current);
        enqueue(job, current);
        return job.record;
    } catch (const Error &error) {
        if (error.kind() == ErrorKind::StoreOutcomeUnknown) {
            const std::lock_guard lock(m_mutex);
            m_resync = true;
        }
        throw;
    }
}

void JobRunner::renew()
{
    std::shared_ptr<HolderLease> current;
    bool resync = false;
    {
        const std::lock_guard lock(m_mutex);
        resync = m_resync;
        if (!m_lease || (m_held.empty() && !resync))
            return;
        current = m_lease;
    }
    if (!current->renew())
        log(LogLevel::Warning, "job", "The lease could not be renewed",
            { { "holder", current->holder() } });
    if (!resync)
        return;
    for (const HeldJob &job : m_store.heldBy(current->holder()))
        enqueue(job, current);
    const std::lock_guard lock(m_mutex);
    m_resync = false;
}

void JobRunner::watchHolders()
{
    if (m_stopping)
        return;
    const TimePoint startedAt = m_context.clock.now();
    const std::vector<Row> holders = m_table.list("holder", "", "", holderListLimit, true);
    m_watch.observe(holders, startedAt, m_context.clock.now());
    std::vector<std::string> watchers;
    for (const Vm &vm : m_directory.entries())
        watchers.push_back(vm.name);
    for (const Row &expired : m_watch.due(watchers)) {
        const auto current = lease();
        if (expired.key == current->holder())
            continue;
        log(LogLevel::Warning, "job", "Taking over the jobs of an expired holder",
            { { "holder", expired.key } });
        {
            const std::lock_guard lock(m_mutex);
            m_resync = true; // Until every outcome is known.
        }
        for (const HeldJob &job : m_store.takeOver(expired, *current)) {
            m_context.metrics.increment("lavenderpick_jobs_total", "event=\"taken_over\"");
            enqueue(job, current);
        }
    }
}

void JobRunner::stop()
{
    if (m_stopping.exchange(true))
        return;
    {
        // Pairs with the wait for work, so that no thread misses the change.
        const std::lock_guard lock(m_mutex);
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
    if (m_lease)
        m_lease->release();
}

nlohmann::json JobRunner::toJson() const
{
    const std::lock_guard lock(m_mutex);
    return { { "held", m_held.size() },
             { "waiting", m_waiting.size() },
             { "holder", m_lease ? m_lease->holder() : "" } };
}

std::shared_ptr<HolderLease> JobRunner::lease()
{
    const std::lock_guard lock(m_mutex);
    if (!m_lease || m_lease->isLost()) {
        // A new holder for each start and each lost lease: watchers take over the former one.
        const std::string holder = newIdentifier(m_context.random, m_context.settings.name);
        m_lease = std::make_shared<HolderLease>(m_table, m_context.clock, m_context.random, holder);
    }
    return m_lease;
}

void JobRunner::enqueue(const HeldJob &job, const std::shared_ptr<HolderLease> &lease)
{
    const std::lock_guard lock(m_mutex);
    if (!m_held.insert(job.record.id).second)
        return;
    m_waiting.push_back({ job, lease });
    m_changed.notify_one();
}

void JobRunner::workUntilStopped()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return !m_waiting.empty() || m_stopping; });
        if (m_stopping)
            return;
        const Waiting next = std::move(m_waiting.front());
        m_waiting.pop_front();
        lock.unlock();
        runJob(next.job, next.lease);
        lock.lock();
        m_held.erase(next.job.record.id);
    }
}

void JobRunner::runJob(const HeldJob &job, const std::shared_ptr<HolderLease> &lease)
{
    log(LogLevel::Info, "job", "Running",
        { { "job", job.record.id }, { "fence", job.record.fence } });
    while (!m_stopping && !lease->isLost()) {
        try {
            // While the lease is not renewed the job rests; the lease may come back.
            if (lease->isHeld() && runOnce(job, *lease))
                return;
        } catch (const std::exception &error) {
            log(LogLevel::Warning, "job", error.what(), { { "job", job.record.id } });
        }
        pause(retryPause);
    }
}

bool JobRunner::runOnce(const HeldJob &job, HolderLease &lease)
{
    if (m_context.clock.wallSeconds() >= job.record.deadlineAt)
        return finish(job,
                      { .problem = Problem { .reason = RefusalReason::DeadlineExceeded,
                                             .detail = "The job's deadline passed." } });
    CompletionOutcome outcome;
    try {
        outcome = runCompletion(job, lease);
    } catch (const ProblemError &error) {
        outcome.problem = error.problem();
    }
    if (outcome.problem && isTemporary(outcome.problem->reason)) {
        if (outcome.problem->retryAfterSeconds)
            pause(Seconds(*outcome.problem->retryAfterSeconds));
        return false;
    }
    return finish(job, outcome);
}

CompletionOutcome JobRunner::runCompletion(const HeldJob &job, HolderLease &lease)
{
    AdmittedCompletion admitted = admit(job);
    JobProgress progress;
    if (const auto stored = m_store.readProgress(job))
        progress = JobProgress::parse(*stored);
    admitted.order.resumeText = progress.text;
    admitted.order.resumeOffset = progress.tokens;
    const std::int64_t before = progress.tokens;
    Receiver receiver(*this, job, lease, std::move(progress));
    CompletionOutcome outcome = m_completions.run(admitted, receiver);
    if (outcome.problem && receiver.progress().tokens > before)
        receiver.storeProgress();
    return outcome;
}

AdmittedCompletion JobRunner::admit(const HeldJob &job)
{
    const auto input = m_store.readInput(job);
    if (!input)
        throw ProblemError({ .reason = RefusalReason::BadRequest,
                             .detail = "The job's input is missing. Submit the job again." });
    nlohmann::json json = job.record.request;
    json["prompt"] = *input;
    CompletionRequest request = CompletionRequest::parse(json);
    const std::int64_t left = job.record.deadlineAt - m_context.clock.wallSeconds();
    request.deadlineMilliseconds = left * 1000;
    return m_completions.admitJob(request, job.record.id, job.record.customer,
                                  *m_context.replica.current());
}

bool JobRunner::finish(const HeldJob &job, const CompletionOutcome &outcome)
{
    WriteState state = WriteState::Unknown;
    if (outcome.problem) {
        state = m_store.fail(job, std::string(toString(outcome.problem->reason)));
    } else {
        const CompletionFormat format(job.record.id, job.record.request.value("model", ""),
                                      m_context.clock.wallSeconds());
        const std::string result = toJsonText(format.body(outcome));
        // Repeated here, so that a store that is down does not make the completion run again.
        while (state != WriteState::Applied && state != WriteState::Conflict && !m_stopping) {
            try {
                state = m_store.complete(job, result);
            } catch (const Error &error) {
                log(LogLevel::Info, "job", error.what(), { { "job", job.record.id } });
            }
            if (state != WriteState::Applied && state != WriteState::Conflict)
                pause(retryPause);
        }
    }
    if (state == WriteState::NotWritten || state == WriteState::Unknown)
        return false;
    const bool applied = state == WriteState::Applied;
    m_context.metrics.increment("lavenderpick_jobs_total",
                                !applied                  ? "event=\"lost\""
                                        : outcome.problem ? "event=\"failed\""
                                                          : "event=\"done\"");
    log(LogLevel::Info, "job", applied ? "Finished" : "Taken over by another entry",
        { { "job", job.record.id }, { "attempt_id", outcome.attemptId } });
    return true;
}

bool JobRunner::pause(Duration duration)
{
    std::unique_lock lock(m_mutex);
    return !m_changed.wait_for(lock, duration, [this] { return m_stopping.load(); });
}

} // namespace Lavenderpick
