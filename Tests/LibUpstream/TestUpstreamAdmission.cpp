#include "lavenderpick/Upstream/UpstreamAdmission.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

struct Fixture
{
    ReservationLedger ledger { 100'000 };
    UpstreamAdmission admission { { .maximumWaiting = 3 }, ledger };

    Fixture() { admission.setModels({ "m" }); }

    UpstreamAdmission::Result request(const std::string &id, std::int64_t tokens,
                                      TimePoint now = start, Duration left = Seconds(600),
                                      const std::string &reservation = {})
    {
        return admission.request({ .attemptId = id,
                                   .model = "m",
                                   .prefillTokens = tokens,
                                   .kvTokenCount = tokens,
                                   .reservationId = reservation,
                                   .deadline = now + left },
                                 now);
    }

    bool starts(const std::string &id, std::int64_t tokens, TimePoint now = start)
    {
        return request(id, tokens, now).decision == AdmissionDecision::Started;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamAdmissionTests, Fixture)

// Guards against accepted work that can't run here: leaving upstream, unknown model, no memory, no
// time.
BOOST_AUTO_TEST_CASE(refuses_with_the_reason)
{
    BOOST_TEST((request("a", 100'001).reason == RefusalReason::UpstreamMemory));
    BOOST_TEST((request("a", 10, start, Seconds(0)).reason == RefusalReason::DeadlineExceeded));
    BOOST_TEST(
            (request("a", 10, start, Seconds(1), "gone").reason == RefusalReason::UpstreamMemory));
    admission.observePrefill(1'000, Seconds(1));
    BOOST_TEST((request("a", 5'000, start, Seconds(4)).reason == RefusalReason::DeadlineTooShort));
    admission.setModels({});
    BOOST_TEST((request("a", 10).reason == RefusalReason::UnknownModel));
    admission.setRefusing(RefusalReason::Draining);
    BOOST_TEST((request("a", 10).reason == RefusalReason::Draining));
    BOOST_TEST(ledger.used() == 0);
}

// Guards against short requests that wait behind long prefill, and against an unbounded queue.
BOOST_AUTO_TEST_CASE(short_work_goes_first_and_the_queue_is_bounded)
{
    BOOST_TEST(starts("long-1", 60'000));
    BOOST_TEST((request("long-2", 60'000).decision == AdmissionDecision::Waiting));
    BOOST_TEST(starts("short-1", 30'000));
    BOOST_TEST((request("short-2", 20'000).decision == AdmissionDecision::Waiting));
    BOOST_TEST((request("short-3", 20'000).decision == AdmissionDecision::Waiting));
    BOOST_TEST((request("short-4", 20'000).reason == RefusalReason::QueueFull));
    admission.finished("long-1");
    BOOST_TEST(admission.startWaiting(start) == (std::vector<std::string> { "short-2", "short-3" }),
               boost::test_tools::per_element());
}

// Guards against waiting prompts that fill this process's memory.
BOOST_AUTO_TEST_CASE(queue_is_bounded_in_tokens)
{
    UpstreamAdmission small({ .maximumWaitingTokens = 150'000 }, ledger);
    small.setModels({ "m" });
    const auto ask = [&](const std::string &id) {
        return small.request({ .attemptId = id,
                               .model = "m",
                               .prefillTokens = 90'000,
                               .kvTokenCount = 90'000,
                               .deadline = start + Seconds(60) },
                             start);
    };
    BOOST_TEST((ask("running").decision == AdmissionDecision::Started));
    BOOST_TEST((ask("waiting").decision == AdmissionDecision::Waiting));
    BOOST_TEST((ask("refused").reason == RefusalReason::QueueFull));
    BOOST_TEST(small.waitingCount() == 1);
}

// Guards against long prompts that fill the memory while short ones are in demand.
BOOST_AUTO_TEST_CASE(long_share_follows_demand)
{
    BOOST_TEST(admission.longShare(start) == 0.9);
    for (int index = 0; index < 30; ++index) {
        BOOST_TEST(starts("s", 2'000));
        admission.finished("s");
    }
    BOOST_TEST(admission.longShare(start) == 0.25);
    BOOST_TEST(starts("long-1", 40'000));
    BOOST_TEST((request("long-2", 32'000).decision == AdmissionDecision::Waiting));
    BOOST_TEST(starts("short", 20'000));
    // Without short requests the same long prompt gets its memory.
    request("long-3", 32'000, start + Seconds(400));
    BOOST_TEST(admission.startWaiting(start + Seconds(400)).size() == 1);
}

// Guards against a long prompt that starves under a steady flow of short ones.
BOOST_AUTO_TEST_CASE(aged_long_work_gets_its_memory)
{
    for (int index = 0; index < 5; ++index)
        BOOST_TEST(starts("s" + std::to_string(index), 18'000));
    BOOST_TEST((request("long", 80'000).decision == AdmissionDecision::Waiting));
    TimePoint now = start;
    bool started = false;
    for (int round = 0; round < 30 && !started; ++round) {
        now += Seconds(1);
        admission.finished("s" + std::to_string(round));
        request("s" + std::to_string(round + 5), 18'000, now);
        const auto ids = admission.startWaiting(now);
        started = std::ranges::find(ids, "long") != ids.end();
    }
    BOOST_TEST(started);
    BOOST_TEST(toMilliseconds(now - start) <= 15'000);
}

// Guards against long work that waits past its deadline behind work that could wait.
BOOST_AUTO_TEST_CASE(earliest_deadline_goes_first_and_waiting_counts)
{
    BOOST_TEST(starts("running", 70'000));
    request("late", 60'000, start, Seconds(500));
    request("soon", 60'000, start, Seconds(100));
    request("expired", 60'000, start, Seconds(2));
    BOOST_TEST(admission.dropExpired(start + Seconds(3)).size() == 1);
    admission.finished("running");
    BOOST_TEST(admission.startWaiting(start + Seconds(3)) == std::vector<std::string> { "soon" },
               boost::test_tools::per_element());
    // By its age, `late` precedes newer work with a somewhat earlier deadline.
    request("newer", 60'000, start + Seconds(90), Seconds(300));
    admission.finished("soon");
    BOOST_TEST(admission.startWaiting(start + Seconds(90)) == std::vector<std::string> { "late" },
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
