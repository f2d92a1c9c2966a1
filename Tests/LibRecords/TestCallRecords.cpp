#include "Fakes/FakeObjectStore.h"
#include "Fakes/FakeTable.h"
#include "lavenderpick/Records/CallRecords.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

struct CallFixture
{
    ManualClock clock {};
    FakeTable table {};
    FakeObjectStore objects {};
    SeededRandom random { 7 };
    CallRecords records { table, objects, clock, random, { .agent = "a", .inlineBodyBytes = 16 } };
    const TimePoint deadline = clock.now() + Seconds(10);

    static CallRequest request(const std::string &digest, RowVersion expectedVersion = 0)
    {
        static int attempts = 0;
        CallRequest request;
        request.token = "t" + std::to_string(++attempts);
        request.customer = "enna";
        request.key = "k";
        request.digest = digest;
        request.expectedVersion = expectedVersion;
        return request;
    }

    CallExecution runCall(const std::string &body)
    {
        CallExecution execution = records.claimStart(request("d"), deadline);
        BOOST_REQUIRE((execution.step() == CallExecution::Step::Send));
        records.recordOutcome(execution,
                              { ServiceResult::Kind::Answered, 201, body, "text/plain" });
        return execution;
    }
};

} // namespace

// Guards against two pairs of customer and key that share a record.
BOOST_AUTO_TEST_CASE(rows_of_different_calls_differ)
{
    BOOST_TEST((CallKey { "a/b", "c" }.row() != CallKey { "a", "b/c" }.row()));
    BOOST_TEST((CallKey { "a%2Fb", "c" }.row() != CallKey { "a/b", "c" }.row()));
}

// Guards against a record that loses a field on its way through the store.
BOOST_AUTO_TEST_CASE(call_record_survives_json)
{
    const CallRecord record { CallState::Done, "d",          "w",    "a", 201,
                              "body",          "text/plain", "name", 5,   6 };
    BOOST_TEST((CallRecord::parse(record.toJson()) == record));
}

BOOST_FIXTURE_TEST_SUITE(call_records, CallFixture)

// Guards against a repeat that runs again or gets another outcome than the first.
BOOST_AUTO_TEST_CASE(repeat_gets_the_recorded_outcome)
{
    runCall("a body above the inline limit");
    const CallExecution repeat = records.claimStart(request("d"), deadline);
    BOOST_TEST((repeat.step() == CallExecution::Step::Finished));
    BOOST_TEST((repeat.answer().ran == Ran::Yes));
    BOOST_TEST(repeat.answer().status == 201);
    BOOST_TEST(repeat.answer().body == "a body above the inline limit");
    BOOST_TEST(records.lookUp({ "enna", "k" }, deadline).body == "a body above the inline limit");
}

// Guards against an empty body that passes for the whole one while the object store is down.
BOOST_AUTO_TEST_CASE(missing_body_is_not_an_empty_body)
{
    runCall("a body above the inline limit");
    objects.faults.down = true;
    BOOST_TEST((records.lookUp({ "enna", "k" }, deadline).ran == Ran::Unknown));
    BOOST_TEST((records.claimStart(request("d"), deadline).answer().ran == Ran::Unknown));
}

// Guards against one key that is used for two different requests.
BOOST_AUTO_TEST_CASE(another_digest_is_refused)
{
    runCall("ok");
    const CallExecution other = records.claimStart(request("e"), deadline);
    BOOST_TEST((other.reason() == RefusalReason::KeyReused));
    BOOST_TEST((other.answer().ran == Ran::No));
    CallDispatch dispatch(request("e"), clock.wallSeconds());
    dispatch.onAnswer(other.answer());
    BOOST_TEST((dispatch.reply().reason == RefusalReason::KeyReused));
}

// Guards against a request that stood still in an entry and runs after its cancellation was
// reported to the caller.
BOOST_AUTO_TEST_CASE(request_older_than_the_cancellation_does_not_start)
{
    const std::int64_t arrivedAt = clock.wallSeconds();
    clock.advance(Seconds(60));
    BOOST_TEST((records.lookUp({ "enna", "k" }, clock.now() + Seconds(10)).ran == Ran::No));
    const auto send = [this](const CallRequest &sent) -> std::optional<CallAnswer> {
        const auto execution = records.claimStart(sent, clock.now() + Seconds(5));
        BOOST_TEST((execution.step() != CallExecution::Step::Send));
        return execution.answer();
    };
    const CallReply reply = records.dispatch(CallDispatch(request("d"), arrivedAt), send,
                                             clock.now() + Seconds(10));
    BOOST_TEST((reply.ran == Ran::No));
    BOOST_TEST((reply.reason == RefusalReason::Cancelled));
}

// Guards against a claim without an answer that leaves the call "unknown" although it was not sent.
BOOST_AUTO_TEST_CASE(unsettled_claim_is_withdrawn)
{
    CallExecution execution(request("d"), { .writerToken = "w" });
    table.transact(execution.write().writes());
    execution.onClaimed({ .state = WriteState::Unknown });
    BOOST_TEST((execution.answer().ran == Ran::No));
    for (int round = 0; round < 2; ++round)
        execution.onRecorded(settle(table, execution.write(), clock, deadline));
    BOOST_TEST((execution.step() == CallExecution::Step::Finished));
    BOOST_TEST((records.lookUp({ "enna", "k" }, deadline).ran == Ran::No));
}

// Guards against a repeated message that starts the call after the first was refused as not run.
BOOST_AUTO_TEST_CASE(refused_attempt_does_not_start_later)
{
    CallRequest once = request("d");
    once.token = newCallToken(random, clock.wallSeconds() + 5);
    table.faults.down = true;
    BOOST_TEST((records.claimStart(once, deadline).answer().ran == Ran::No));
    table.faults.down = false;
    const CallExecution repeated = records.claimStart(once, deadline);
    BOOST_TEST((repeated.step() == CallExecution::Step::Finished));
    BOOST_TEST((repeated.answer().ran == Ran::Unknown));
    CallDispatch dispatch(once, clock.wallSeconds());
    dispatch.onAnswer(repeated.answer());
    BOOST_TEST((dispatch.step() == CallDispatch::Step::Cancel));

    // The same message at the agent's next incarnation.
    clock.advance(Seconds(10));
    CallRecords restarted(table, objects, clock, random, {});
    BOOST_TEST((restarted.claimStart(once, deadline).step() == CallExecution::Step::Finished));
    BOOST_TEST(!restarted.noteRefusal(once));
}

// Guards against a lost outcome when the store fails after the call.
BOOST_AUTO_TEST_CASE(backlog_records_outcomes_when_the_store_returns)
{
    CallExecution execution = records.claimStart(request("d"), deadline);
    table.faults.down = true;
    BOOST_TEST(!records.recordOutcome(execution, { ServiceResult::Kind::Answered, 200, "ok", "" }));
    BOOST_TEST((execution.answer().ran == Ran::Yes));
    BOOST_TEST(records.drainBacklog() == 1U);
    table.faults.down = false;
    BOOST_TEST(records.drainBacklog() == 0U);
    BOOST_TEST(records.lookUp({ "enna", "k" }, deadline).body == "ok");
}

// Guards against a sweep that removes live records or leaves bodies of removed ones.
BOOST_AUTO_TEST_CASE(sweep_removes_expired_records_in_batches)
{
    runCall("a body above the inline limit");
    for (int number = 0; number < 150; ++number)
        records.lookUp({ "enna", "old" + std::to_string(number) }, deadline);
    std::string cursor;
    BOOST_TEST(records.sweepExpired(cursor) == 0U);
    clock.advance(Seconds(8 * 24 * 3600));
    records.lookUp({ "enna", "young" }, clock.now() + Seconds(10));
    cursor.clear();
    BOOST_TEST(records.sweepExpired(cursor) == 100U);
    BOOST_TEST(!cursor.empty());
    BOOST_TEST(records.sweepExpired(cursor) == 51U);
    BOOST_TEST(cursor.empty());
    BOOST_TEST(table.list("call", "", "", 10, true).size() == 1U);
    BOOST_TEST(objects.list("").empty());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a backlog that grows without bound while the store is down.
BOOST_AUTO_TEST_CASE(backlog_is_bounded)
{
    OutcomeBacklog backlog(4096);
    CallExecution execution(CallFixture::request("d"), { .writerToken = "w" });
    execution.onClaimed({ .state = WriteState::Applied, .version = 1 });
    execution.onServiceResult({ ServiceResult::Kind::Answered, 200, std::string(500, 'x'), "" });
    int added = 0;
    while (added < 100 && backlog.add(execution))
        ++added;
    BOOST_TEST(added == 2);
    BOOST_TEST(backlog.drain([](CallExecution &) { return true; }) == 0U);
    BOOST_TEST(backlog.add(execution));
}
