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

    HttpResponse call(const std::string &key, bool repeatable = false)
    {
        CallRequest request { .requestId = "r",
                              .token = "t",
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

// Guards against a call that runs twice because its message was delivered twice.
BOOST_AUTO_TEST_CASE(duplicate_calls_run_once)
{
    const CallAnswer first = CallAnswer::parse(parseJson(call("k").body, "answer"));
    BOOST_TEST((first.ran == Ran::Yes));
    const CallAnswer second = CallAnswer::parse(parseJson(call("k").body, "answer"));
    BOOST_TEST(second.state == "done");
    BOOST_TEST(second.body == first.body);
    BOOST_TEST(runs() == 1);
}

// Guards against a call that runs although its start could not be recorded, or although the
// document does not allow it.
BOOST_AUTO_TEST_CASE(refused_calls_do_not_run)
{
    BOOST_TEST(call("", true).status == 503);
    table.faults.down = true;
    const HttpResponse response = call("k");
    BOOST_TEST(response.status == 503);
    BOOST_TEST((Problem::parse(parseJson(response.body, "problem")).ran == Ran::No));
    BOOST_TEST(runs() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
