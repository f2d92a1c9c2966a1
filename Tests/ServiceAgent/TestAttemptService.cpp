#include "ServiceAgent/AgentFixture.h"

using namespace Lavenderpick;

BOOST_FIXTURE_TEST_SUITE(AttemptServiceTests, AgentFixture)

// Guards against tokens that are lost or repeated when a caller's connection breaks mid-stream.
BOOST_AUTO_TEST_CASE(broken_connection_resumes_at_the_offset)
{
    std::string text;
    std::int64_t next = 0;
    AttemptEvent last;
    const auto receive = [&](const AttemptEvent &event) {
        if (event.type == AttemptEventType::Token) {
            BOOST_TEST(event.offset == next);
            text += event.text;
            return ++next != 10;
        }
        last = event;
        return false;
    };
    entry.stream(port(), "POST", "/internal/attempts", testAttempt("a", "hello", 40).toJson(),
                 receive);
    BOOST_TEST(next == 10);
    entry.stream(port(), "GET", "/internal/attempts/a/events?from=10", {}, receive);
    BOOST_TEST(text == StandIns::expectedOutput("hello", 40));
    BOOST_TEST((last.type == AttemptEventType::End));
    BOOST_TEST(last.digest == sha256(text));
    BOOST_TEST(becomesEmpty());
}

// Guards against a message without the cluster's key that starts or cancels work.
BOOST_AUTO_TEST_CASE(unsigned_messages_are_refused)
{
    const SystemClock clock;
    HttpClient client("127.0.0.1:" + std::to_string(port()), clock);
    for (const char *method : { "POST", "DELETE" })
        BOOST_TEST(client.send({ .method = method, .path = "/internal/attempts/a", .body = "{}" })
                           .status
                   >= 400);
    BOOST_TEST(client.send({ .method = "GET", .path = "/internal/status" }).status == 401);
    BOOST_TEST(client.send({ .method = "GET", .path = "/ready" }).status == 200);
}

// Guards against work that goes on at the engine when the entry has cancelled it.
BOOST_AUTO_TEST_CASE(cancel_frees_the_engine)
{
    AttemptEvent last;
    entry.stream(port(), "POST", "/internal/attempts", testAttempt("a", "hello", 5'000).toJson(),
                 [&](const AttemptEvent &event) {
                     last = event;
                     if (event.offset == 3)
                         entry.send(port(), "DELETE", "/internal/attempts/a");
                     return true;
                 });
    BOOST_TEST((last.type == AttemptEventType::Failed));
    BOOST_TEST(last.reason == "cancelled");
    BOOST_TEST(becomesEmpty());
}

// Guards against an engine that ends mid-stream and leaves the entry without a last event.
BOOST_AUTO_TEST_CASE(engine_death_fails_the_attempt)
{
    AttemptEvent last;
    std::thread killer;
    entry.stream(port(), "POST", "/internal/attempts", testAttempt("a", "hello", 5'000).toJson(),
                 [&](const AttemptEvent &event) {
                     if (event.offset == 3 && !killer.joinable())
                         killer = std::thread([this] { engine->stop(); });
                     last = event;
                     return true;
                 });
    killer.join();
    BOOST_TEST((last.type == AttemptEventType::Failed));
    BOOST_TEST(last.reason == "upstream_failed");
    BOOST_TEST(eventually([this] { return !status().at("accepting").get<bool>(); }));
    BOOST_TEST(eventually([this] { return status().at("kv_used") == 0; }));
    BOOST_TEST(entry.send(port(), "POST", "/internal/attempts", testAttempt("b", "x", 1).toJson())
                       .status
               == 502);
}

// Guards against plans that take effect late or cut off running work: new work is refused, the
// running stream ends whole, then the upstream is drained.
BOOST_AUTO_TEST_CASE(stop_plan_refuses_new_work_and_keeps_running_work)
{
    std::string text;
    int refusedStatus = 0;
    entry.stream(port(), "POST", "/internal/attempts", testAttempt("a", "hello", 150).toJson(),
                 [&](const AttemptEvent &event) {
                     text += event.text;
                     if (event.offset != 3)
                         return true;
                     entry.publish("plans", "engine-1", { { "action", "stop" }, { "by", "ops" } });
                     // The newer version in any message makes the agent fetch the document.
                     entry.send(port(), "GET", "/internal/status");
                     BOOST_TEST(eventually([&] { return status().at("plan") == "stop"; }));
                     BOOST_TEST(!status().at("drained").get<bool>());
                     refusedStatus = entry.send(port(), "POST", "/internal/attempts",
                                                testAttempt("b", "x", 1).toJson())
                                             .status;
                     return true;
                 });
    BOOST_TEST(refusedStatus == 503);
    BOOST_TEST(text == StandIns::expectedOutput("hello", 150));
    BOOST_TEST(eventually([this] { return status().at("drained").get<bool>(); }));
    entry.publish("plans", "engine-1", nullptr);
    entry.send(port(), "GET", "/internal/status");
    BOOST_TEST(eventually([this] { return status().at("accepting").get<bool>(); }));
}

// Guards against a terminated agent that cuts off a stream.
BOOST_AUTO_TEST_CASE(termination_waits_for_streams)
{
    std::string text;
    entry.stream(port(), "POST", "/internal/attempts", testAttempt("a", "hello", 150).toJson(),
                 [&](const AttemptEvent &event) {
                     text += event.text;
                     if (event.offset == 3)
                         running->agent.drain();
                     return true;
                 });
    BOOST_TEST(text == StandIns::expectedOutput("hello", 150));
    running->join();
}

// Guards against an engine in another state than the document says, and against a document version
// that reports don't show.
BOOST_AUTO_TEST_CASE(model_version_is_ordered)
{
    nlohmann::json model = sampleModel();
    model["versions"] = { "2" };
    entry.publish("models", "lavender-1", model);
    entry.subscribe(running->agent);
    BOOST_TEST(eventually([this] {
        return engine->simulation().state().at("models").at("lavender-1") == "2"
                && entry.report().documentVersion == 2;
    }));
    BOOST_TEST(engine->simulation().state().at("fence") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against engine memory that is lost when a caller leaves during a long prefill, in which
// the engine sends nothing.
BOOST_AUTO_TEST_CASE(caller_leaves_during_long_prefill)
{
    StandIns::EngineOptions options = AgentFixture::fastEngine();
    options.prefillMicrosecondsPerToken = 500;
    AgentFixture fixture(options);
    const std::string prompt(400'000, 'x');
    const SystemClock clock;
    HttpClient client("127.0.0.1:" + std::to_string(fixture.port()), clock);
    const std::string body = testAttempt("long", prompt, 10).toJson().dump();
    bool sawHeartbeat = false;
    // The first heartbeat proves that the attempt is streamed; then the connection is dropped.
    client.stream({ .method = "POST",
                    .path = "/internal/attempts",
                    .body = body,
                    .headers = fixture.entry.headers("POST", "/internal/attempts", body) },
                  [&](std::string_view piece) {
                      sawHeartbeat = piece.starts_with(":");
                      return false;
                  });
    BOOST_TEST(sawHeartbeat);
    BOOST_TEST(fixture.engineMemory() == 100'010);
    BOOST_TEST(fixture.becomesEmpty());
}
