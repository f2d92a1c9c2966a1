#include "Fakes/FakeObjectStore.h"
#include "Fakes/FakeTable.h"
#include "lavenderpick/Records/HolderWatch.h"
#include "lavenderpick/Records/JobStore.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

struct JobFixture
{
    ManualClock clock {};
    FakeTable table {};
    FakeObjectStore objects {};
    SeededRandom random { 7 };
    JobStore store { table, objects, clock, random };
    HolderLease lease { table, clock, random, "a-1" };
    HolderLease otherLease { table, clock, random, "b-1" };

    HeldJob submit(const std::string &id)
    {
        return store.submit({ .id = id,
                              .customer = "dar",
                              .input = "input",
                              .deadlineAt = clock.wallSeconds() + 100 },
                            lease);
    }

    Row leaseRow() { return table.list("holder", "a-1", "", 1, true).front(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(jobs, JobFixture)

// Guards against a record or manifest that loses a field on its way through the store.
BOOST_AUTO_TEST_CASE(job_record_survives_json)
{
    const HeldJob job = submit("j");
    BOOST_TEST((JobRecord::parse(job.record.toJson()) == job.record));
    const JobManifest manifest { 3, "digest", 2 };
    BOOST_TEST((JobManifest::parse(manifest.toJson()) == manifest));
}

// Guards against a holder that works on past the time at which others may take its jobs.
BOOST_AUTO_TEST_CASE(holder_stops_itself_without_renewal)
{
    BOOST_TEST(!lease.isHeld());
    BOOST_TEST(lease.renew());
    table.faults.down = true;
    clock.advance(Seconds(19));
    BOOST_TEST(!lease.renew());
    BOOST_TEST(lease.isHeld());
    clock.advance(Seconds(1));
    BOOST_TEST(!lease.isHeld());
    table.faults.down = false;
    BOOST_TEST(lease.renew());
    BOOST_TEST(lease.isHeld());
}

// Guards against a lease that is lost for good when one renewal's answer was lost.
BOOST_AUTO_TEST_CASE(lease_survives_lost_answers)
{
    lease.renew();
    table.faults.lostAnswers = 1;
    BOOST_TEST(lease.renew());
    table.faults.lostAnswers = 3;
    lease.renew();
    table.faults.lostAnswers = 0;
    BOOST_TEST(lease.renew());
    BOOST_TEST(!lease.isLost());
}

// Guards against a job that an expired holder submits where nobody looks for it.
BOOST_AUTO_TEST_CASE(removed_lease_takes_no_job)
{
    lease.renew();
    store.takeOver(leaseRow(), otherLease);
    BOOST_CHECK_THROW(submit("j"), std::exception);
    BOOST_TEST(!store.read("j").has_value());
    BOOST_TEST(lease.isLost());
}

// Guards against a paused former holder that changes the result of its former job.
BOOST_AUTO_TEST_CASE(former_holder_cannot_finish)
{
    const HeldJob job = submit("j");
    store.writeProgress(job, "half");
    const auto taken = store.takeOver(leaseRow(), otherLease);
    BOOST_REQUIRE(taken.size() == 1U);
    BOOST_TEST(taken[0].record.fence == 2);
    BOOST_TEST(store.readProgress(taken[0]).value() == "half");
    BOOST_TEST((store.complete(taken[0], "whole") == WriteState::Applied));
    BOOST_TEST((store.complete(job, "stale") == WriteState::Conflict));
    BOOST_TEST(store.result("j").value() == "whole");
    store.sweepObjects(*store.read("j"));
    BOOST_TEST(objects.list("").size() == 2U);
    BOOST_TEST(store.result("j").value() == "whole");
}

// Guards against a repeated completion, after a lost answer, that counts as lost to another holder.
BOOST_AUTO_TEST_CASE(completion_can_be_repeated)
{
    const HeldJob job = submit("j");
    BOOST_TEST((store.complete(job, "whole") == WriteState::Applied));
    BOOST_TEST((store.complete(job, "whole") == WriteState::Applied));
}

// Guards against jobs that are removed while they run, or never.
BOOST_AUTO_TEST_CASE(sweep_removes_expired_jobs_only)
{
    const HeldJob done = submit("done");
    submit("running");
    store.complete(done, "whole");
    clock.advance(Seconds(31 * 24 * 3600));
    std::string cursor;
    BOOST_TEST(store.sweepExpired(cursor) == 1U);
    BOOST_TEST(!store.read("done").has_value());
    BOOST_TEST(store.read("running").has_value());
    BOOST_TEST(objects.list("job/done/").empty());
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct WatchFixture
{
    ManualClock clock {};
    HolderWatch watch { "w1" };

    std::size_t observe(RowVersion version, Seconds wait,
                        const std::vector<std::string> &watchers = { "w1" })
    {
        clock.advance(wait);
        watch.observe({ Row { "h", version } }, clock.now(), clock.now());
        return watch.due(watchers).size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(holder_watch, WatchFixture)

// Guards against a live holder that is taken for expired, or an expired one that is missed.
BOOST_AUTO_TEST_CASE(expires_after_30_seconds_without_a_new_version)
{
    BOOST_TEST(observe(1, Seconds(0)) == 0U);
    BOOST_TEST(observe(1, Seconds(20)) == 0U);
    BOOST_TEST(observe(2, Seconds(20)) == 0U);
    BOOST_TEST(observe(2, Seconds(20)) == 0U);
    BOOST_TEST(observe(2, Seconds(20)) == 1U);
}

// Guards against a take-over of every holder when the store returns from an outage.
BOOST_AUTO_TEST_CASE(outage_of_the_store_expires_nobody)
{
    BOOST_TEST(observe(1, Seconds(0)) == 0U);
    BOOST_TEST(observe(1, Seconds(600)) == 0U);
    BOOST_TEST(observe(1, Seconds(20)) == 0U);
    BOOST_TEST(observe(1, Seconds(20)) == 1U);
}

// Guards against jobs that nobody takes over because the chosen watcher is gone.
BOOST_AUTO_TEST_CASE(every_watcher_acts_in_the_end)
{
    const std::vector<std::string> watchers { "w1", "w2", "w3" };
    std::size_t due = 0;
    for (int round = 0; round < 6; ++round)
        due = observe(1, Seconds(20), watchers);
    BOOST_TEST(due == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
