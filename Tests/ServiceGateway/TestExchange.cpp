#include "GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

using Peer = std::shared_ptr<UpstreamPeer>;

ScriptedUpstream::Script answering(const std::string &body, int status = 200,
                                   const std::string &extraHeaders = "Proof: p\r\n")
{
    return [=](const ReceivedRequest &request, const Peer &peer) {
        peer->write(
                GatewayFixture::answer(request.header("Request-Id"), body, status, extraHeaders));
    };
}

void closeAtOnce(const ReceivedRequest &, const Peer &peer)
{
    peer->close();
}

void staySilent(const ReceivedRequest &, const Peer &) { }

std::string chunk(const std::string &bytes)
{
    std::string out;
    appendChunk(bytes, out);
    return out;
}

std::string streamHead(const ReceivedRequest &request)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
            + "\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ForwardingTests, GatewayFixture)

BOOST_AUTO_TEST_CASE(theRequestArrivesUnchanged)
{
    const auto &upstream = addUpstream("u1", answering("done"));
    const auto view = get("/safe/a?b=%20c", "r7", "X-Other: kept\r\nCustomer: forged\r\n", "body");
    BOOST_CHECK_EQUAL(view->status, 200);
    BOOST_CHECK_EQUAL(view->body, "done");
    BOOST_CHECK_EQUAL(view->header("Proof"), "p");
    BOOST_REQUIRE_EQUAL(upstream.received().size(), 1);
    const ReceivedRequest &received = upstream.received().front();
    BOOST_CHECK_EQUAL(received.head.method, "POST");
    BOOST_CHECK_EQUAL(received.head.target, "/safe/a?b=%20c");
    BOOST_CHECK_EQUAL(received.body, "body");
    BOOST_CHECK_EQUAL(received.header("X-Other"), "kept");
    BOOST_CHECK_EQUAL(received.header("Customer"), "customer-1");
    BOOST_CHECK_EQUAL(received.head.headers.count("Customer"), 1);
    BOOST_CHECK_EQUAL(received.header("Key"), "");
    BOOST_CHECK_EQUAL(received.header("Expected-Upstream"), "u1");
    BOOST_CHECK_EQUAL(received.header("Time-Left-Ms"), "2000");
}

BOOST_AUTO_TEST_CASE(connectionsToUpstreamsAreKept)
{
    const auto &upstream = addUpstream("u1", answering("done"));
    for (int count = 0; count < 3; ++count)
        BOOST_CHECK_EQUAL(get("/safe/")->status, 200);
    BOOST_CHECK_EQUAL(upstream.connections(), 1);
}

BOOST_AUTO_TEST_CASE(theCallersDeadlineIsHandedOn)
{
    const auto &upstream = addUpstream("u1", answering("done"));
    get("/safe/", "r1", "Time-Left-Ms: 700\r\n");
    BOOST_REQUIRE_EQUAL(upstream.received().size(), 1);
    BOOST_CHECK_EQUAL(upstream.received().front().header("Time-Left-Ms"), "700");
}

BOOST_AUTO_TEST_CASE(anEarlierResponseOnTheConnectionIsDropped)
{
    addUpstream("u1", [](const ReceivedRequest &request, const Peer &peer) {
        peer->write(answer("another", "stale"));
        peer->write(answer(request.header("Request-Id"), "mine"));
    });
    BOOST_CHECK_EQUAL(get("/once/", "r1", "", "x")->body, "mine");
}

BOOST_AUTO_TEST_CASE(aSuccessWithoutProofIsNotForwarded)
{
    addUpstream("u1", answering("forged", 200, ""));
    BOOST_CHECK_EQUAL(get("/once/", "r1", "", "x")->status, 502);
}

BOOST_AUTO_TEST_CASE(aResponseWithoutLengthEndsWithItsConnection)
{
    addUpstream("u1", [](const ReceivedRequest &request, const Peer &peer) {
        peer->write("HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: " + request.header("Request-Id")
                    + "\r\n\r\nall of it");
        peer->close();
    });
    const auto view = get("/safe/");
    BOOST_CHECK(view->whole);
    BOOST_CHECK_EQUAL(view->body, "all of it");
}

BOOST_AUTO_TEST_CASE(withoutConfigurationNothingIsUnknown)
{
    state.configuration.reset();
    const auto view = get("/nowhere/");
    BOOST_CHECK_EQUAL(view->status, 503);
    BOOST_CHECK_EQUAL(view->header("Retry-After"), "0.30");
}

BOOST_AUTO_TEST_CASE(unknownRoutesAndKeysAreRefused)
{
    const auto &upstream = addUpstream("u1", answering("done"));
    BOOST_CHECK_EQUAL(get("/nowhere/")->status, 404);
    BOOST_CHECK_EQUAL(
            sendBytes("GET /safe/ HTTP/1.1\r\nHost: h\r\nKey: other\r\n\r\n").substr(9, 3), "401");
    BOOST_CHECK(upstream.received().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RepeatTests, GatewayFixture)

BOOST_AUTO_TEST_CASE(aSafeRequestGoesToAnotherUpstreamAfterAFailure)
{
    const auto &first = addUpstream("u1", closeAtOnce);
    const auto &second = addUpstream("u2", closeAtOnce);
    const auto &third = addUpstream("u3", closeAtOnce);
    BOOST_CHECK_EQUAL(get("/safe/")->status, 502);
    BOOST_CHECK_EQUAL(first.received().size() + second.received().size() + third.received().size(),
                      2);
}

BOOST_AUTO_TEST_CASE(aRequestThatMayNotBeRepeatedIsSentOnce)
{
    const auto &first = addUpstream("u1", closeAtOnce);
    const auto &second = addUpstream("u2", closeAtOnce);
    const auto view = get("/once/", "r1", "", "x");
    BOOST_CHECK_EQUAL(view->status, 502);
    BOOST_CHECK_EQUAL(view->header("Retry-After"), "");
    BOOST_CHECK_EQUAL(first.received().size() + second.received().size(), 1);
}

BOOST_AUTO_TEST_CASE(aProofThatItDidNotRunAllowsAnotherUpstream)
{
    addUpstream("u1", answering("", 503, "Not-Run: 1\r\n"));
    addUpstream("u2", answering("", 503, "Not-Run: 1\r\n"));
    addUpstream("u3", answering("done"));
    BOOST_CHECK_EQUAL(get("/once/", "r1", "", "x")->status, 200);
}

BOOST_AUTO_TEST_CASE(aRefusalIsTrueOnlyWhenNoUpstreamMayHaveRun)
{
    addUpstream("u1", answering("", 503, "Not-Run: 1\r\n"));
    const auto refused = get("/once/", "r1", "", "x");
    BOOST_CHECK_EQUAL(refused->status, 503);
    BOOST_CHECK(refused->body.find("\"ran\":\"no\"") != std::string::npos);
    BOOST_CHECK_NE(refused->header("Retry-After"), "");
}

BOOST_AUTO_TEST_CASE(aFailureOfTheUpstreamIsForwardedWithItsProof)
{
    addUpstream("u1", answering("why", 500));
    const auto view = get("/once/", "r1", "", "x");
    BOOST_CHECK_EQUAL(view->status, 500);
    BOOST_CHECK_EQUAL(view->header("Proof"), "p");
    BOOST_CHECK_EQUAL(view->body, "why");
}

BOOST_AUTO_TEST_CASE(theLastFailureOfASafeRequestIsForwarded)
{
    const auto &first = addUpstream("u1", answering("why", 500));
    const auto &second = addUpstream("u2", answering("why", 500));
    const auto view = get("/safe/");
    BOOST_CHECK_EQUAL(view->status, 500);
    BOOST_CHECK_EQUAL(view->body, "why");
    BOOST_CHECK_EQUAL(first.received().size() + second.received().size(), 2);
}

BOOST_AUTO_TEST_CASE(anUpstreamThatIsAnotherProcessIsSkipped)
{
    addUpstream("u1", answering("", 421, ""));
    addUpstream("u2", answering("done"));
    for (int count = 0; count < 4; ++count)
        BOOST_CHECK_EQUAL(get("/once/", "r1", "", "x")->status, 200);
}

BOOST_AUTO_TEST_CASE(aCutSafeResponseIsRepeated)
{
    const auto cut = [](const ReceivedRequest &request, const Peer &peer) {
        peer->write("HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: " + request.header("Request-Id")
                    + "\r\nContent-Length: 10\r\n\r\nhalf");
        peer->close();
    };
    addUpstream("u1", cut);
    const auto view = get("/safe/");
    BOOST_CHECK_EQUAL(view->status, 502);
    addUpstream("u2", answering("whole"));
    BOOST_CHECK_EQUAL(get("/safe/")->body, "whole");
}

BOOST_AUTO_TEST_CASE(aLargeResponseThatIsCutIsNotJoinedWithAnother)
{
    const auto cut = [](const ReceivedRequest &request, const Peer &peer) {
        peer->write("HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: " + request.header("Request-Id")
                    + "\r\nContent-Length: 200000\r\n\r\n" + std::string(100'000, 'x'));
        peer->closeAfterOutput();
    };
    const auto &first = addUpstream("u1", cut);
    const auto &second = addUpstream("u2", cut);
    const auto view = get("/safe/");
    BOOST_CHECK(view->failed);
    BOOST_CHECK_EQUAL(first.received().size() + second.received().size(), 1);
}

// The end of the connection is all that tells a caller of HTTP/1.0 that a response is whole.
BOOST_AUTO_TEST_CASE(aCutResponseToAnOldCallerEndsWithAReset)
{
    addUpstream(
            "u1",
            [](const ReceivedRequest &request, const Peer &peer) {
                peer->write(streamHead(request) + chunk(event(1)));
                peer->closeAfterOutput();
            },
            "engines");
    const auto socket = connect();
    asio::write(*socket,
                asio::buffer(std::string("POST /fixed-stream/ HTTP/1.0\r\nHost: h\r\nKey: k\r\n"
                                         "Request-Id: r1\r\nContent-Length: 0\r\n\r\n")));
    asio::error_code error;
    runUntil([&] {
        std::array<char, 4'096> buffer {};
        socket->read_some(asio::buffer(buffer), error);
        return error && error != asio::error::would_block;
    });
    BOOST_CHECK_EQUAL(error, asio::error::connection_reset);
}

BOOST_AUTO_TEST_CASE(enginesHearHowUrgentARequestIs)
{
    ServingConfigurationParts parts = configuration();
    for (Route &route : parts.routes)
        route.priority = 3;
    parts.customers->push_back({ .name = "customer-2", .keys = { "k2" }, .priority = 1 });
    state.configuration = std::make_shared<ServingConfiguration>(parts);
    const auto &upstream = addUpstream("u1", answering("x"), "engines");
    get("/stream/", "r1", "Tokens: 100,10\r\nUrgency: 0\r\n", "x");
    BOOST_REQUIRE_EQUAL(upstream.received().size(), 1);
    BOOST_CHECK_EQUAL(upstream.received().back().header("Urgency"), "3");
    const auto socket = connect();
    asio::write(*socket,
                asio::buffer(std::string("POST /stream/ HTTP/1.1\r\nHost: h\r\nKey: k2\r\n"
                                         "Request-Id: r2\r\nTokens: 100,10\r\n"
                                         "Content-Length: 0\r\n\r\n")));
    runUntil([&] { return upstream.received().size() == 2; });
    BOOST_CHECK_EQUAL(upstream.received().back().header("Urgency"), "1");
}

BOOST_AUTO_TEST_CASE(anUpstreamWithoutFreeConnectionsGetsNothing)
{
    ServingConfigurationParts parts = configuration();
    parts.services.front().maximumConnections = 2;
    state.configuration = std::make_shared<ServingConfiguration>(parts);
    const auto &upstream = addUpstream("u1", staySilent);
    const auto first = send("/safe/", "r1");
    const auto second = send("/safe/", "r2");
    runUntil([&] { return upstream.received().size() == 2; });
    const auto third = get("/safe/", "r3");
    BOOST_CHECK_EQUAL(third->status, 503);
    BOOST_CHECK(!third->header("Retry-After").empty());
    BOOST_CHECK_EQUAL(upstream.received().size(), 2);
}

// Callers wait two seconds for the next event, however long the stream has run.
BOOST_AUTO_TEST_CASE(aLongStreamThatBreaksGoesOnElsewhere)
{
    Peer running;
    addUpstream(
            "u1",
            [&running](const ReceivedRequest &request, const Peer &peer) {
                running = peer;
                peer->write(streamHead(request) + chunk(event(1)));
            },
            "engines");
    ServingConfigurationParts parts = configuration();
    for (Route &route : parts.routes)
        route.timeout = Seconds(20);
    state.configuration = std::make_shared<ServingConfiguration>(parts);
    const auto view = send("/stream/", "r1", "Tokens: 100\r\n");
    runUntil([&] { return !view->body.empty(); });
    for (int id = 2; id <= 6; ++id) {
        advance(Seconds(1));
        running->write(chunk(event(id)));
        runUntil([&] { return view->body.find(event(id)) != std::string::npos; });
    }
    addUpstream(
            "u2",
            [](const ReceivedRequest &request, const Peer &peer) {
                BOOST_CHECK_EQUAL(request.header("Last-Event-Id"), "6");
                peer->write(streamHead(request) + chunk(event(7)) + std::string(lastChunk));
            },
            "engines");
    running->close();
    runUntil([&] { return view->isDone(); });
    BOOST_CHECK(view->whole);
    BOOST_CHECK(view->body.ends_with(event(6) + event(7)));
}

// The engine hangs on one request and serves the next.
BOOST_AUTO_TEST_CASE(aStreamThatItsEngineLostGoesOnElsewhere)
{
    const auto hangsOnFirst = [](const ReceivedRequest &request, const Peer &peer) {
        if (request.header("Request-Id") != "r1")
            peer->write(streamHead(request) + chunk(event(1)));
    };
    const auto &first = addUpstream("u1", hangsOnFirst, "engines");
    const auto hung = send("/stream/", "r1", "Tokens: 100\r\n");
    runUntil([&] { return first.received().size() == 1; });
    advance(Milliseconds(100));
    const auto next = send("/stream/", "r2", "Tokens: 100\r\n");
    runUntil([&] { return !next->body.empty(); });
    const auto &second = addUpstream(
            "u2",
            [](const ReceivedRequest &request, const Peer &peer) {
                peer->write(streamHead(request) + chunk(event(1)) + std::string(lastChunk));
            },
            "engines");
    advance(Milliseconds(399));
    BOOST_CHECK(second.received().empty());
    advance(Milliseconds(1));
    runUntil([&] { return hung->isDone(); });
    BOOST_CHECK(hung->whole);
    BOOST_CHECK_EQUAL(hung->body, event(1));
    BOOST_REQUIRE_EQUAL(second.received().size(), 1);
    BOOST_CHECK_EQUAL(second.received().front().header("Request-Id"), "r1");
}

// Guards against a refusal in the middle of a response.
BOOST_AUTO_TEST_CASE(aStreamGoesOnElsewhereWhileTheGatewayStops)
{
    Peer broken;
    addUpstream(
            "u1",
            [&broken](const ReceivedRequest &request, const Peer &peer) {
                broken = peer;
                peer->write(streamHead(request) + chunk(event(1)));
            },
            "engines");
    state.stop.setGracePeriod(Seconds(4));
    state.stop.begin(clock.now());
    clock.advance(Milliseconds(2'400));
    const auto view = send("/stream/", "r1", "Tokens: 100\r\n");
    runUntil([&] { return !view->body.empty(); });
    clock.advance(Milliseconds(1'150));
    addUpstream(
            "u2",
            [](const ReceivedRequest &request, const Peer &peer) {
                peer->write(streamHead(request) + chunk(event(2)) + std::string(lastChunk));
            },
            "engines");
    broken->close();
    runUntil([&] { return view->isDone(); });
    BOOST_CHECK(view->whole);
    BOOST_CHECK_EQUAL(view->body, event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(aLostStreamWithoutBudgetIsLeftToItsEngine)
{
    state.retries = WindowedRetryBudget({ .ratio = 0, .slack = 0, .window = Seconds(10) });
    const auto &first = addUpstream(
            "u1",
            [](const ReceivedRequest &request, const Peer &peer) {
                if (request.header("Request-Id") != "r1")
                    peer->write(streamHead(request) + chunk(event(1)));
            },
            "engines");
    const auto hung = send("/stream/", "r1", "Tokens: 100\r\n");
    runUntil([&] { return first.received().size() == 1; });
    advance(Milliseconds(100));
    const auto next = send("/stream/", "r2", "Tokens: 100\r\n");
    runUntil([&] { return !next->body.empty(); });
    addUpstream("u2", answering("x"), "engines");
    advance(Milliseconds(500));
    BOOST_CHECK(!hung->isDone());
}

BOOST_AUTO_TEST_CASE(aLostStreamWithoutAnotherPlaceIsLeftToItsEngine)
{
    const auto &first = addUpstream(
            "u1",
            [](const ReceivedRequest &request, const Peer &peer) {
                if (request.header("Request-Id") != "r1")
                    peer->write(streamHead(request) + chunk(event(1)));
            },
            "engines");
    const auto hung = send("/stream/", "r1", "Tokens: 100\r\n");
    runUntil([&] { return first.received().size() == 1; });
    advance(Milliseconds(100));
    const auto next = send("/stream/", "r2", "Tokens: 100\r\n");
    runUntil([&] { return !next->body.empty(); });
    advance(Milliseconds(500));
    BOOST_CHECK(!hung->isDone());
}

BOOST_AUTO_TEST_CASE(repeatsEndWithTheBudget)
{
    state.retries = WindowedRetryBudget({ .ratio = 0, .slack = 0, .window = Seconds(10) });
    const auto &first = addUpstream("u1", closeAtOnce);
    const auto &second = addUpstream("u2", closeAtOnce);
    BOOST_CHECK_EQUAL(get("/safe/")->status, 502);
    BOOST_CHECK_EQUAL(first.received().size() + second.received().size(), 1);
}

BOOST_AUTO_TEST_CASE(anUpstreamThatCannotBeReachedCostsNoRepeat)
{
    state.retries = WindowedRetryBudget({ .ratio = 0, .slack = 0, .window = Seconds(10) });
    addUpstream("u1", staySilent).stopListening();
    addUpstream("u2", answering("done"));
    for (int count = 0; count < 3; ++count)
        BOOST_CHECK_EQUAL(get("/once/", "r1", "", "x")->status, 200);
}

BOOST_AUTO_TEST_CASE(aLookupLeavesASilentUpstream)
{
    const auto &silent = addUpstream("u1", staySilent);
    const auto view = send("/safe/");
    BOOST_REQUIRE(runUntil([&] { return silent.received().size() == 1; }));
    addUpstream("u2", answering("done"));
    advance(Milliseconds(299));
    BOOST_CHECK(!view->isDone());
    advance(Milliseconds(1));
    BOOST_REQUIRE(runUntil([&] { return view->isDone(); }));
    BOOST_CHECK_EQUAL(view->body, "done");
}

BOOST_AUTO_TEST_CASE(aCallThatRunsOnceStaysWithASilentUpstream)
{
    const auto &silent = addUpstream("u1", staySilent);
    const auto &other = addUpstream("u2", staySilent);
    const auto view = send("/once/", "r1", "", "x");
    BOOST_REQUIRE(
            runUntil([&] { return silent.received().size() + other.received().size() == 1; }));
    advance(Milliseconds(1'900));
    BOOST_CHECK(!view->isDone());
    BOOST_CHECK_EQUAL(silent.received().size() + other.received().size(), 1);
}

BOOST_AUTO_TEST_CASE(theRoutesTimeoutEndsARequest)
{
    addUpstream("u1", staySilent);
    const auto view = send("/once/", "r1", "", "x");
    BOOST_REQUIRE(runUntil([&] { return state.ledger.size() == 1; }));
    context.run_for(std::chrono::milliseconds(20));
    advance(Milliseconds(2'000));
    BOOST_REQUIRE(runUntil([&] { return view->isDone(); }));
    BOOST_CHECK_EQUAL(view->status, 504);
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesStopsItsWork)
{
    Peer seen;
    addUpstream("u1", [&](const ReceivedRequest &, const Peer &peer) { seen = peer; });
    send("/safe/");
    BOOST_REQUIRE(runUntil([&] { return seen != nullptr; }));
    leave();
    BOOST_CHECK(runUntil([&] { return !seen->isOpen(); }));
    BOOST_CHECK_EQUAL(state.ledger.size(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(StreamTests, GatewayFixture)

BOOST_AUTO_TEST_CASE(eventsArriveAsTheyAreMade)
{
    Peer seen;
    addUpstream(
            "e1",
            [&](const ReceivedRequest &request, const Peer &peer) {
                seen = peer;
                peer->write(streamHead(request) + chunk(event(1)));
            },
            "engines");
    const auto view = send("/stream/", "r1", "Tokens: 100\r\n");
    BOOST_REQUIRE(runUntil([&] { return view->body == event(1); }));
    seen->write(chunk(event(2)) + "0\r\n\r\n");
    BOOST_REQUIRE(runUntil([&] { return view->whole; }));
    BOOST_CHECK_EQUAL(view->body, event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(aBrokenStreamGoesOnAtAnotherUpstream)
{
    const auto script = [](const ReceivedRequest &request, const Peer &peer) {
        if (request.header("Last-Event-Id") == "2") {
            peer->write(streamHead(request) + chunk(event(3)) + "0\r\n\r\n");
            return;
        }
        peer->write(streamHead(request) + chunk(event(1) + event(2) + "id: 3\nda"));
        peer->close();
    };
    addUpstream("e1", script, "engines");
    addUpstream("e2", script, "engines");
    const auto view = get("/stream/", "r1", "Tokens: 100\r\n");
    BOOST_CHECK(view->whole);
    BOOST_CHECK_EQUAL(view->body, event(1) + event(2) + event(3));
}

BOOST_AUTO_TEST_CASE(aBrokenStreamGoesOnAlsoAfterARefusal)
{
    int refusals = 0;
    const auto script = [&](const ReceivedRequest &request, const Peer &peer) {
        if (request.header("Last-Event-Id").empty()) {
            peer->write(streamHead(request) + chunk(event(1)));
            peer->close();
        } else if (++refusals == 1) {
            peer->write(answer(request.header("Request-Id"), "", 503, "Not-Run: 1\r\n"));
        } else {
            peer->write(streamHead(request) + chunk(event(2)) + "0\r\n\r\n");
        }
    };
    for (const char *id : { "e1", "e2", "e3" })
        addUpstream(id, script, "engines");
    const auto view = get("/stream/", "r1", "Tokens: 100\r\n");
    BOOST_CHECK(view->whole);
    BOOST_CHECK_EQUAL(view->body, event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(aStreamThatCannotGoOnDoesNotLookWhole)
{
    const auto script = [](const ReceivedRequest &request, const Peer &peer) {
        peer->write(streamHead(request) + chunk(event(1)));
        peer->close();
    };
    addUpstream("e1", script, "engines");
    addUpstream("e2", script, "engines");
    const auto view = get("/fixed-stream/", "r1", "Tokens: 100\r\n");
    BOOST_CHECK(view->failed);
    BOOST_CHECK(!view->whole);
}

BOOST_AUTO_TEST_CASE(anEventWithoutEndIsNotHeldForever)
{
    addUpstream(
            "e1",
            [](const ReceivedRequest &request, const Peer &peer) {
                peer->write(streamHead(request) + chunk(std::string(2'000'000, 'x')));
            },
            "engines");
    const auto view = get("/fixed-stream/", "r1", "Tokens: 100\r\n");
    BOOST_CHECK_EQUAL(view->status, 502);
}

BOOST_AUTO_TEST_CASE(missingMemoryIsReservedAndReleased)
{
    std::vector<std::string> orders;
    const auto script = [&](const ReceivedRequest &request, const Peer &peer) {
        if (request.head.target.starts_with("/re")) {
            orders.push_back(request.head.target.substr(0, 8));
            peer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        BOOST_CHECK(request.header("Helpers").find("/r1-0-0;") != std::string::npos);
        peer->write(streamHead(request) + chunk(event(1)) + "0\r\n\r\n");
    };
    addUpstream("e1", script, "engines");
    addUpstream("e2", script, "engines");
    const auto view = get("/stream/", "r1", "Tokens: 12000\r\n");
    BOOST_CHECK(view->whole);
    BOOST_CHECK(runUntil([&] { return orders.size() == 2; }));
    BOOST_CHECK((orders == std::vector<std::string> { "/reserve", "/release" }));
}

BOOST_AUTO_TEST_CASE(aPromptThatNoReservationFitsDidNotRun)
{
    const auto script = [](const ReceivedRequest &, const Peer &peer) {
        peer->write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    };
    addUpstream("e1", script, "engines");
    addUpstream("e2", script, "engines");
    const auto view = get("/stream/", "r1", "Tokens: 12000\r\n");
    BOOST_CHECK_EQUAL(view->status, 503);
}

BOOST_AUTO_TEST_SUITE_END()
