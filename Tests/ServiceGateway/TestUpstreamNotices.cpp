#include "GatewayFixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Lavenderpick;

namespace {

using Peer = std::shared_ptr<ScriptedConnection>;

struct Fixture : GatewayFixture
{
    /// Answers each request with success and the extra headers.
    ScriptedUpstream::Script succeedWith(const std::string &extraHeaders = "")
    {
        return [extraHeaders](const ReceivedRequest &request, const Peer &peer) {
            peer->write(makeResponse(request.header("Request-Id"), "done", 200,
                                     extraHeaders + "Proof: p\r\n"));
        };
    }

    /// Turns each request away for a while.
    ScriptedUpstream::Script pauseFor(Duration pause)
    {
        return [pause](const ReceivedRequest &request, const Peer &peer) {
            peer->write(makeResponse(
                    request.header("Request-Id"), "", 503,
                    "Not-Run: 1\r\nPause-Ms: " + std::to_string(toMilliseconds(pause)) + "\r\n"));
        };
    }

    /// Counts the plain requests of a script.
    static ScriptedUpstream::Script counting(int &count, const ScriptedUpstream::Script &script)
    {
        return [&count, script](const ReceivedRequest &request, const Peer &peer) {
            ++count;
            script(request, peer);
        };
    }

    void expire() { state.upstreams.expire(clock.now(), clock.now()); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamNoticesInExchangeTests, Fixture)

// An upstream that says it leaves got requests until the store's entry said so too.
BOOST_AUTO_TEST_CASE(anUpstreamThatSaysItLeavesGetsNothingNew)
{
    for (const int status : { 200, 500, 503, 404 }) {
        int leaving = 0;
        int other = 0;
        const auto script = [status](const ReceivedRequest &request, const Peer &peer) {
            peer->write(makeResponse(request.header("Request-Id"), "", status,
                                     "Proof: p\r\nLeaving: 1\r\n"));
        };
        state.upstreams.replaceAll({}, clock.now());
        const std::string id = "u-" + std::to_string(status);
        addUpstream(id, counting(leaving, script));
        while (leaving == 0)
            sendAndWait("/once/", "r1");
        addUpstream("other", counting(other, succeedWith()));
        for (int number = 0; number < 10; ++number)
            BOOST_CHECK_EQUAL(sendAndWait("/safe/")->status, 200);
        BOOST_CHECK_EQUAL(leaving, 1);
        BOOST_CHECK_EQUAL(other, 10);
        state.upstreams.remove("other", clock.now());
    }
}

BOOST_AUTO_TEST_CASE(requestsAreRejectedAtOnceIfAllUpstreamsLeave)
{
    int requests = 0;
    addUpstream("u1", counting(requests, succeedWith("Leaving: 1\r\n")));
    BOOST_CHECK_EQUAL(sendAndWait("/once/")->status, 200);
    const auto response = sendAndWait("/once/");
    BOOST_CHECK_EQUAL(response->status, 503);
    BOOST_CHECK(!response->header("Retry-After").empty());
    BOOST_CHECK_EQUAL(requests, 1);
}

BOOST_AUTO_TEST_CASE(aStreamOnAnUpstreamThatLeavesRunsToItsEnd)
{
    Peer stream;
    const auto script = [&](const ReceivedRequest &, const Peer &peer) {
        stream = peer;
        peer->write("HTTP/1.1 200 X\r\nRequest-Id: r1\r\nProof: p\r\nLeaving: 1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n8\r\nid: 1\n\n\n\r\n");
    };
    addUpstream("u1", script, "engines");
    const auto response = send("/stream/", "r1", "Tokens: 10,10\r\n", "x");
    BOOST_REQUIRE(runUntil([&] { return !response->body.empty(); }));
    BOOST_CHECK(!state.upstreams.isReady("u1"));
    stream->write("8\r\nid: 2\n\n\n\r\n0\r\n\r\n");
    BOOST_REQUIRE(runUntil([&] { return response->isDone(); }));
    BOOST_CHECK(response->complete);
}

// The answer to an order counts as well as that to a request.
BOOST_AUTO_TEST_CASE(anEngineThatLeavesWhileMemoryIsReservedGetsNoRequest)
{
    int requests = 0;
    for (const char *id : { "u1", "u2", "u3" })
        addUpstream(
                id,
                [&](const ReceivedRequest &request, const Peer &peer) {
                    requests += request.head.target == "/stream/" ? 1 : 0;
                    peer->write(makeResponse("", "", 200, "Leaving: 1\r\n"));
                },
                "engines");
    const auto response = sendAndWait("/stream/", "r1", "Tokens: 15000,10\r\n", "x");
    BOOST_CHECK_EQUAL(response->status, 503);
    BOOST_CHECK_EQUAL(requests, 0);
}

// An upstream that wanted nothing for a while was asked again at once.
BOOST_AUTO_TEST_CASE(aPausedUpstreamIsAskedAgainAfterThePauseOnly)
{
    int paused = 0;
    addUpstream("u1", counting(paused, pauseFor(Seconds(5))));
    while (paused == 0)
        sendAndWait("/once/");
    addUpstream("u2", succeedWith());
    for (int number = 0; number < 10; ++number)
        BOOST_CHECK_EQUAL(sendAndWait("/once/")->status, 200);
    BOOST_CHECK_EQUAL(paused, 1);
    clock.advance(Milliseconds(4'999));
    expire();
    sendAndWait("/once/");
    BOOST_CHECK_EQUAL(paused, 1);
    clock.advance(Milliseconds(1));
    expire();
    state.upstreams.remove("u2", clock.now());
    sendAndWait("/once/");
    BOOST_CHECK_EQUAL(paused, 2);
}

BOOST_AUTO_TEST_CASE(requestsAreRejectedAtOnceIfAllUpstreamsPauseForLong)
{
    int requests = 0;
    addUpstream("u1", counting(requests, pauseFor(Seconds(3'600))));
    std::set<std::string> returnTimes;
    for (int number = 0; number < 5; ++number) {
        const auto response = sendAndWait("/once/");
        BOOST_CHECK_EQUAL(response->status, 503);
        BOOST_CHECK(response->body.find("upstream_pause") != std::string::npos);
        BOOST_CHECK_GE(std::stod(response->header("Retry-After")), 3'600);
        BOOST_CHECK_LE(std::stod(response->header("Retry-After")), 3'610);
        returnTimes.insert(response->header("Retry-After"));
    }
    BOOST_CHECK_EQUAL(requests, 1);
    BOOST_CHECK_GT(returnTimes.size(), 1);
}

BOOST_AUTO_TEST_CASE(requestsWaitForPausesThatEndInTime)
{
    int requests = 0;
    addUpstream("u1", [&](const ReceivedRequest &request, const Peer &peer) {
        (++requests == 1 ? pauseFor(Milliseconds(300)) : succeedWith())(request, peer);
    });
    BOOST_CHECK_EQUAL(sendAndWait("/once/", "r1")->status, 503);
    const auto waiting = send("/once/", "r2");
    BOOST_CHECK(!runUntil([&] { return waiting->isDone(); }, std::chrono::milliseconds(50)));
    BOOST_CHECK_EQUAL(requests, 1);
    clock.advance(Milliseconds(300));
    expire();
    BOOST_REQUIRE(runUntil([&] { return waiting->isDone(); }));
    BOOST_CHECK_EQUAL(waiting->status, 200);
}

// Guards against requests that wait for a pause beyond the end of their process, and are cut
// without an answer when it exits.
BOOST_AUTO_TEST_CASE(requestsThatWaitBeyondAPlannedStopAreRejected)
{
    ServingConfigurationParts parts = makeConfiguration();
    for (Route &route : parts.routes)
        route.timeout = Seconds(15);
    state.configuration = std::make_shared<ServingConfiguration>(parts);
    state.stop.setGracePeriod(Seconds(8));
    for (const auto &[pause, isRejected] :
         { std::pair(Milliseconds(8'500), true), std::pair(Milliseconds(6'000), false) }) {
        state.upstreams.replaceAll({}, clock.now());
        int requests = 0;
        addUpstream("u-" + std::to_string(pause.count()),
                    [&, pause = pause](const ReceivedRequest &request, const Peer &peer) {
                        (++requests == 1 ? pauseFor(pause) : succeedWith())(request, peer);
                    });
        BOOST_CHECK_EQUAL(sendAndWait("/once/", "r1")->status, 503);
        const auto waiting = send("/once/", "r2");
        BOOST_CHECK(!runUntil([&] { return waiting->isDone(); }, std::chrono::milliseconds(50)));
        state.stop.begin(clock.now());
        BOOST_CHECK_EQUAL(
                runUntil([&] { return waiting->isDone(); }, std::chrono::milliseconds(200)),
                isRejected);
        if (!isRejected) {
            clock.advance(pause);
            expire();
            BOOST_REQUIRE(runUntil([&] { return waiting->isDone(); }));
        }
        BOOST_CHECK_EQUAL(waiting->status, isRejected ? 503 : 200);
        BOOST_CHECK_EQUAL(requests, isRejected ? 1 : 2);
    }
}

// Guards against requests beyond the limit of an upstream that has just started, and against
// callers who are refused although its next turn comes within their objective.
BOOST_AUTO_TEST_CASE(requestsWaitForTheirTurnAtAColdUpstream)
{
    int sent = 0;
    addUpstream("u-1", counting(sent, succeedWith()));
    state.rateLimits.setCensus({ GatewayCensus::State::Complete, 1, 0 }, clock.now());
    state.coldUpstreams.setServices(
            { { .name = "calls", .coldDuration = Seconds(3), .coldRequestsPerSecond = 100 } });
    state.coldUpstreams.recordList(state.upstreams.records(), clock.now());
    state.recordZoneReturned(state.upstreams.find("u-1")->availabilityZone);
    BOOST_CHECK(state.rateLimits.isLimited("u-1"));
    advance(Milliseconds(41)); // A quarter of the rate is one request each 40 ms.
    BOOST_CHECK_EQUAL(sendAndWait("/safe/")->status, 200);
    const auto waiting = send("/safe/");
    runUntil([] { return false; }, std::chrono::milliseconds(50));
    BOOST_CHECK_EQUAL(sent, 1);
    advance(Milliseconds(41));
    BOOST_CHECK(runUntil([&] { return waiting->isDone(); }));
    BOOST_CHECK_EQUAL(waiting->status, 200);
    clock.advance(Seconds(3));
    state.applyColdChanges();
    BOOST_CHECK(!state.rateLimits.isLimited("u-1"));
    BOOST_CHECK_EQUAL(
            state.metrics.counter("lavenderpick_cold_periods_total", "reason=\"zone_returned\""),
            1);
}

BOOST_AUTO_TEST_SUITE_END()
