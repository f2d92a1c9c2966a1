#include "ServiceAgent/AgentFixture.h"
#include "ServiceServer.h"

using namespace Lavenderpick;

namespace {

struct CallFixture
{
    CallFixture()
        : servicePort(service.start(0))
    {
        entry.publish("services", "desk", sampleService(false));
        AgentSettings settings = testSettings(servicePort, "desk-1");
        settings.upstream.kind = UpstreamKind::Service;
        settings.upstream.service = "desk";
        running = std::make_unique<RunningAgent>(settings, table, objects, entry);
    }

    HttpResponse call(const std::string &key, const std::string &token, bool repeatable = false)
    {
        CallRequest request { .requestId = "r",
                              .token = token,
                              .customer = "enna",
                              .key = key,
                              .digest = "d",
                              .service = "desk",
                              .method = "POST",
                              .path = "/bookings",
                              .body = "{}",
                              .deadlineMilliseconds = 3'000,
                              .repeatable = repeatable };
        return entry.send(running->agent.port(), "POST", "/internal/calls", request.toJson());
    }

    static CallAnswer answer(const HttpResponse &response)
    {
        return CallAnswer::parse(parseJson(response.body, "answer"));
    }

    std::size_t runs()
    {
        const auto journal = parseJson(entry.send(servicePort, "GET", "/journal").body, "journal");
        return journal.at("runs").size();
    }

    FakeTable table;
    FakeObjectStore objects;
    TestEntry entry;
    StandIns::ServiceServer service;
    int servicePort;
    std::unique_ptr<RunningAgent> running;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallServiceTests, CallFixture)

// Guards against a call that runs twice because its message was delivered twice or the caller
// repeated it.
BOOST_AUTO_TEST_CASE(duplicate_calls_run_once)
{
    const CallAnswer first = answer(call("k", "t1"));
    BOOST_TEST((first.ran == Ran::Yes));
    BOOST_TEST((answer(call("k", "t1")).ran == Ran::Unknown));
    const CallAnswer repeated = answer(call("k", "t2"));
    BOOST_TEST(repeated.state == "done");
    BOOST_TEST(repeated.body == first.body);
    BOOST_TEST(runs() == 1);
}

// Guards against a call that runs although its start could not be recorded, or although the
// document does not allow it.
BOOST_AUTO_TEST_CASE(refused_calls_do_not_run)
{
    BOOST_TEST(call("", "t1", true).status == 503);
    table.faults.down = true;
    const HttpResponse response = call("k", "t2");
    BOOST_TEST(response.status == 503);
    BOOST_TEST((Problem::parse(parseJson(response.body, "problem")).ran == Ran::No));
    BOOST_TEST(runs() == 0);
}

// Guards against a late copy of a message that starts the call after its refusal was told as "not
// run".
BOOST_AUTO_TEST_CASE(refused_call_does_not_start_later)
{
    const auto setPlan = [this](const nlohmann::json &plan, bool accepting) {
        entry.publish("plans", "desk-1", plan);
        entry.subscribe(running->agent);
        BOOST_REQUIRE(
                eventually([&] { return running->agent.status().at("accepting") == accepting; }));
    };
    setPlan({ { "action", "stop" }, { "by", "ops" } }, false);
    BOOST_TEST(call("k", "t1").status == 503);
    setPlan(nullptr, true);
    BOOST_TEST((answer(call("k", "t1")).ran == Ran::Unknown));
    BOOST_TEST(runs() == 0);
    BOOST_TEST((answer(call("k", "t2")).ran == Ran::Yes));
}

BOOST_AUTO_TEST_SUITE_END()
