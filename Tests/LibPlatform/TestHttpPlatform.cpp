#include "PlatformServer.h"
#include "ServiceServer.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Document/DocumentStore.h"
#include "lavenderpick/Http/HttpServer.h"
#include "lavenderpick/Platform/HttpPlatform.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Lavenderpick;

namespace {

struct PlatformFixture
{
    StandIns::PlatformServer server { { .vmLag = Milliseconds(300), .weightsPerMinute = 1 } };
    std::string address { "127.0.0.1:" + std::to_string(server.start(0)) };
    SystemClock clock {};
    HttpPlatform platform { address, clock, Milliseconds(200) };
    HttpClient control { address, clock };

    void setFaults(const nlohmann::json &faults)
    {
        control.send({ .method = "POST", .path = "/faults", .body = faults.dump() });
    }
};

auto isKind(ErrorKind kind)
{
    return [kind](const Error &error) {
        BOOST_TEST_MESSAGE(error.what());
        return error.kind() == kind;
    };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpPlatformTests, PlatformFixture)

// Guards against keys that change on the wire, versions that repeat, and lost conflict rows.
BOOST_AUTO_TEST_CASE(rows_are_written_conditionally)
{
    const RowKey key { "call", "enna/key %2F+?&=#\xC3\xA9;,'" };
    BOOST_TEST(!platform.read(key).has_value());
    const TransactionResult created = platform.transact({ { key, 0, { { { "a", 1 } } } } });
    BOOST_REQUIRE(created.applied);
    BOOST_TEST(platform.read(key)->version == created.versions[0]);
    const TransactionResult lost = platform.transact(
            { { { "t", "new" }, 0, nlohmann::json(1) }, { key, 0, nlohmann::json(2) } });
    BOOST_TEST(!lost.applied);
    BOOST_TEST(lost.conflictIndex == 1U);
    BOOST_TEST((lost.conflictRow == platform.read(key)));
    BOOST_TEST(!platform.read(RowKey { "t", "new" }).has_value());
    platform.transact({ { key, created.versions[0], std::nullopt } });
    BOOST_TEST(!platform.read(key).has_value());
    const TransactionResult again = platform.transact({ { key, 0, nlohmann::json(3) } });
    BOOST_TEST(again.versions[0] > created.versions[0]);
    const TransactionResult absent = platform.transact({ { { "t", "x" }, 5, nlohmann::json(1) } });
    BOOST_TEST(!absent.applied);
    BOOST_TEST(!absent.conflictRow.has_value());
}

// Guards against pages that skip or repeat rows, or cross into another prefix.
BOOST_AUTO_TEST_CASE(rows_are_listed_in_pages)
{
    for (const char *key : { "a/1", "a/2", "a/3", "b/1" })
        platform.transact({ { { "job", key }, 0, nlohmann::json(key) } });
    const auto first = platform.list("job", "a/", "", 2, false);
    BOOST_REQUIRE(first.size() == 2U);
    BOOST_TEST(first[1].value == "a/2");
    const auto second = platform.list("job", "a/", first[1].key, 2, true);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].key == "a/3");
    BOOST_TEST(second[0].value.is_null());
}

// Guards against callers that list without end, since a response does not continue the page before.
BOOST_AUTO_TEST_CASE(pages_that_do_not_continue_are_refused)
{
    Metrics metrics;
    HttpServer repeating({}, metrics);
    std::vector<std::string> keys;
    repeating.routes().Get("/tables/job", [&](const auto &, auto &response) {
        nlohmann::json items = nlohmann::json::array();
        for (const std::string &key : keys)
            items.push_back({ { "key", key }, { "version", 1 } });
        answerJson(response, 200, { { "items", items } });
    });
    const int port = repeating.start("127.0.0.1", 0);
    HttpPlatform reader("127.0.0.1:" + std::to_string(port), clock, Milliseconds(200));
    const std::vector<std::vector<std::string>> unusable {
        { "a/2" },        // The last row of the page before.
        { "a/1", "a/3" }, // A row before it.
        { "a/4", "a/3" }, // Not in order.
        { "a/3", "a/3" }, // A row twice.
        { "a/3", "b/1" }, // Of another prefix.
    };
    for (const auto &rows : unusable) {
        keys = rows;
        BOOST_CHECK_EXCEPTION(reader.list("job", "a/", "a/2", 2, true), Error,
                              isKind(ErrorKind::StoreUnavailable));
    }
    keys = { "a/3", "a/4" };
    BOOST_TEST(reader.list("job", "a/", "a/2", 2, true).size() == 2U);
    repeating.stop();
}

// Guards against objects that are cut or changed.
BOOST_AUTO_TEST_CASE(objects_survive_byte_for_byte)
{
    const std::string bytes = std::string("\0\r\n\xFF", 4) + std::string(3'000'000, 'x');
    platform.write("job/1/result-2", bytes);
    BOOST_TEST((platform.read(std::string("job/1/result-2")) == bytes));
    platform.write("job/1/empty", "");
    BOOST_TEST((platform.read(std::string("job/1/empty")) == ""));
    BOOST_TEST(platform.list(std::string("job/1/")).size() == 2U);
    platform.remove("job/1/result-2");
    BOOST_TEST(!platform.read(std::string("job/1/result-2")).has_value());
}

// Guards against a write that took effect and is reported as not happened, or the reverse.
BOOST_AUTO_TEST_CASE(failures_say_whether_a_write_may_have_happened)
{
    const RowKey key { "t", "k" };
    const std::vector<Write> writes { { key, 0, nlohmann::json(1) } };
    setFaults({ { "down", true } });
    BOOST_CHECK_EXCEPTION(platform.transact(writes), Error, isKind(ErrorKind::StoreUnavailable));
    BOOST_CHECK_EXCEPTION(platform.read(key), Error, isKind(ErrorKind::StoreUnavailable));
    setFaults({ { "down", false }, { "lose_answers", 2 } });
    BOOST_CHECK_EXCEPTION(platform.transact(writes), Error, isKind(ErrorKind::StoreOutcomeUnknown));
    BOOST_TEST(platform.read(key).has_value());
    BOOST_CHECK_EXCEPTION(platform.write("o", "x"), Error, isKind(ErrorKind::StoreOutcomeUnknown));
    BOOST_TEST((platform.read(std::string("o")) == "x"));
    setFaults({ { "slow_ms", 600 } });
    BOOST_CHECK_EXCEPTION(platform.transact(writes), Error, isKind(ErrorKind::StoreOutcomeUnknown));
    BOOST_CHECK_EXCEPTION(platform.read(key), Error, isKind(ErrorKind::StoreUnavailable));
    HttpPlatform nobody("127.0.0.1:23999", clock, Milliseconds(200));
    BOOST_CHECK_EXCEPTION(nobody.transact(writes), Error, isKind(ErrorKind::StoreUnavailable));
}

// Guards against a document edit that is lost or doubled over the real client.
BOOST_AUTO_TEST_CASE(document_edits_survive_lost_answers_on_the_wire)
{
    SystemRandom random;
    DocumentStore store(platform, platform, random, clock);
    setFaults({ { "lose_answers", 1 } });
    const DocumentEdit edit {
        .section = "models",
        .entries = { { "m", { { "versions", { "1" } }, { "maximum_prompt_tokens", 1'000 } } } }
    };
    BOOST_TEST(store.apply(edit).applied);
    BOOST_TEST(store.headVersion() == 1);
    BOOST_TEST(!store.apply(edit).applied);
}

// Guards against a VM list that shows a change twice or never, and against an unlimited rate.
BOOST_AUTO_TEST_CASE(vm_list_lags_and_weights_are_limited)
{
    const Vm vm { .name = "vm-1",
                  .role = "agent",
                  .address = "127.0.0.1:1",
                  .datagramAddress = "127.0.0.1:2",
                  .upstream = "u1" };
    control.send({ .method = "PUT", .path = "/vms/vm-1", .body = vm.toJson().dump() });
    BOOST_TEST(platform.changesSince(0).vms.empty());
    std::this_thread::sleep_for(Milliseconds(400));
    const VmChanges changes = platform.changesSince(0);
    BOOST_REQUIRE(changes.vms.size() == 1U);
    BOOST_TEST((changes.vms[0] == vm));
    BOOST_TEST(platform.changesSince(changes.version).vms.empty());
    BOOST_TEST(platform.mayDownload("m", "1"));
    BOOST_TEST(!platform.mayDownload("m", "1"));
    const auto counters = control.send({ .method = "GET", .path = "/counters" });
    BOOST_TEST(nlohmann::json::parse(counters.body)["reads"] == 5);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a service stand-in that hides a run whose answer was dropped.
BOOST_AUTO_TEST_CASE(service_journals_runs_whose_answer_is_lost)
{
    StandIns::ServiceServer server;
    const SystemClock clock;
    HttpClient client("127.0.0.1:" + std::to_string(server.start(0)), clock);
    client.send({ .method = "POST", .path = "/faults", .body = R"({"lose_answers":1})" });
    const HttpRequest call { .method = "POST", .path = "/bookings?x=1", .body = "{}" };
    BOOST_CHECK_THROW(client.send(call), Error);
    BOOST_TEST(client.send(call).status == 200);
    const auto journal = client.send({ .method = "GET", .path = "/journal" });
    BOOST_TEST(nlohmann::json::parse(journal.body)["runs"].size() == 2U);
}
