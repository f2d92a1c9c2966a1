#include "Fakes/FakeObjectStore.h"
#include "Fakes/FakeTable.h"
#include "FaultMatrix/Matrix.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Records/HolderWatch.h"
#include "lavenderpick/Records/JobStore.h"

#include <memory>

namespace Lavenderpick::FaultMatrix {

namespace {

constexpr int maximumRounds = 12;
const std::string jobId = "report-2026";

/// An entry as far as jobs are concerned: holder and watcher.
struct JobEntry
{
    JobEntry(const std::string &name, Table &entryTable, ObjectStore &objects, const Clock &clock,
             Random &random)
        : table(entryTable)
        , lease(entryTable, clock, random, name)
        , store(entryTable, objects, clock, random)
        , watch(name)
    { }

    Table &table;
    HolderLease lease;
    JobStore store;
    HolderWatch watch;
    bool alive { true };
};

/// Entry A submits and runs a job with faults; B takes over with faults, C without.
class JobWorld
{
public:
    JobWorld(const Plan &plan, const Guards &guards)
        : m_injector(m_clock, plan)
        , m_faultyTable(m_table, m_injector, guards)
        , m_faultyObjects(m_objects, m_injector, guards)
        , m_plainObjects(m_objects, m_injector, guards)
        , m_a("a", m_faultyTable, m_faultyObjects, m_clock, m_random)
        , m_b("b", m_faultyTable, m_faultyObjects, m_clock, m_random)
        , m_c("c", m_faultyTable, m_plainObjects, m_clock, m_random)
    {
        m_injector.whileFrozen = [this] { takeOverRounds(m_c, 5); };
        m_injector.race = [this] { takeOverRounds(m_c, 1); };
        m_injector.redeliver = [] {};
    }

    CellResult run()
    {
        enter(m_a, [this] { submit(); });
        enter(m_a, [this] { work(m_a); });
        if (!m_a.alive)
            enter(m_b, [this] { takeOverRounds(m_b, 3); });
        m_injector.quietly([this] { finish(); });
        return { m_injector.kinds(), m_violations };
    }

private:
    template <typename Code>
    void enter(JobEntry &entry, Code code)
    {
        if (!entry.alive)
            return;
        try {
            code();
        } catch (const ProcessKilled &) {
            entry.alive = false;
        } catch (const Error &) {
            // The entry tries again later.
        }
    }

    void submit()
    {
        m_submitted = true;
        try {
            m_a.store.submit({ .id = jobId,
                               .customer = "enna",
                               .input = "the season's ledger",
                               .deadlineAt = m_clock.wallSeconds() + 3600 },
                             m_a.lease);
            m_accepted = true;
        } catch (const Error &error) {
            m_refused = error.kind() == ErrorKind::StoreUnavailable;
        }
    }

    static std::string resultOf(const HeldJob &job)
    {
        return "the report, as " + job.record.holder + " wrote it under fence "
                + std::to_string(job.record.fence);
    }

    void work(JobEntry &entry)
    {
        entry.lease.renew();
        for (const HeldJob &job : entry.store.heldBy(entry.lease.holder())) {
            if (!entry.lease.isHeld())
                return;
            entry.store.readInput(job);
            entry.store.readProgress(job);
            entry.store.writeProgress(job, "half");
            m_clock.advance(leaseRenewalInterval);
            entry.lease.renew();
            finishJob(entry, job);
        }
    }

    void finishJob(JobEntry &entry, const HeldJob &job)
    {
        const WriteState state = entry.store.complete(job, resultOf(job));
        if (state != WriteState::Applied)
            return;
        if (const auto finished = entry.store.read(jobId))
            entry.store.sweepObjects(*finished);
    }

    void takeOverRounds(JobEntry &entry, int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            if (entry.lease.isHeld())
                work(entry);
            const TimePoint startedAt = m_clock.now();
            const auto holders = entry.table.list("holder", "", "", 100, true);
            entry.watch.observe(holders, startedAt, m_clock.now());
            for (const Row &expired : entry.watch.due({ "b", "c" })) {
                if (expired.key == entry.lease.holder())
                    continue;
                entry.lease.renew();
                entry.store.takeOver(expired, entry.lease);
                work(entry);
            }
            m_clock.advance(holderWatchInterval);
        }
    }

    /// All faults end; late messages arrive; what lives goes on until the job is done.
    void finish()
    {
        noteResult();
        m_injector.recover();
        for (int round = 0; round < maximumRounds; ++round) {
            for (JobEntry *entry : { &m_a, &m_b })
                enter(*entry, [&] { work(*entry); });
            enter(m_c, [this] { takeOverRounds(m_c, 1); });
            noteResult();
        }
        checkEnd();
    }

    void noteResult()
    {
        try {
            const auto result = m_c.store.result(jobId);
            check(!m_result || result == m_result, "the result of a done job changed");
            if (result)
                m_result = result;
        } catch (const Error &) {
            check(false, "the result of a done job is not whole");
        }
    }

    void checkEnd()
    {
        const auto record = m_c.store.read(jobId);
        check(!m_accepted || record, "an accepted job is absent");
        check(!m_refused || !record, "a job exists that was refused");
        if (!record)
            return;
        check(record->state == JobState::Done, "a job was not finished in time");
        check(m_result.has_value(), "a job has no result");
        const std::string expected = resultOf({ .record = *record });
        check(!m_result || *m_result == expected, "the result is not that of the last holder");
        m_c.store.sweepObjects(*record);
        check(m_objects.list("job/").size() == 2, "objects of a finished job remain");
        check(m_table.list("job-holder", "", "", 10, true).empty(), "an index row remains");
    }

    void check(bool holds, const std::string &violation)
    {
        if (!holds)
            m_violations.push_back(violation);
    }

    ManualClock m_clock {};
    Injector m_injector;
    FakeTable m_table {};
    FakeObjectStore m_objects {};
    FaultyTable m_faultyTable;
    FaultyObjects m_faultyObjects;
    FaultyObjects m_plainObjects;
    SeededRandom m_random { 1 };
    JobEntry m_a;
    JobEntry m_b;
    JobEntry m_c;
    bool m_submitted { false };
    bool m_accepted { false };
    bool m_refused { false };
    std::optional<std::string> m_result {};
    std::vector<std::string> m_violations {};
};

} // namespace

Scenario jobScenario()
{
    return { "job",
             [](const Plan &plan, const Guards &guards) { return JobWorld(plan, guards).run(); } };
}

} // namespace Lavenderpick::FaultMatrix
