#include "GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

using Peer = std::shared_ptr<ScriptedConnection>;

ScriptedUpstream::Script respondWith(const std::string &body, int status = 200,
                                     const std::string &extraHeaders = "Proof: p\r\n")
{
    return [=](const ReceivedRequest &request, const Peer &peer) {
        peer->write(GatewayFixture::makeResponse(request.header("Request-Id"), body, status,
                                                 extraHeaders));
    };
}

void closeImmediately(const ReceivedRequest &, const Peer &peer)
{
    peer->close();
}

void neverRespond(const ReceivedRequest &, const Peer &) { }

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

BOOST_AUTO_TEST_CASE(requestIsForwardedUnchanged)
{
    const auto &upstream = addUpstream("u1", respondWith("done"));
    const auto view =
            sendAndWait("/safe/a?b=%20c", "r7", "X-Other: kept\r\nCustomer: forged\r\n", "body");
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

BOOST_AUTO_TEST_CASE(upstreamConnectionsAreReused)
{
    const auto &upstream = addUpstream("u1", respondWith("done"));
    for (int count = 0; count < 3; ++count)
        BOOST_CHECK_EQUAL(sendAndWait("/safe/")->status, 200);
    BOOST_CHECK_EQUAL(upstream.connectionCount(), 1);
}

BOOST_AUTO_TEST_CASE(callerDeadlineIsForwarded)
{
    const auto &upstream = addUpstream("u1", respondWith("done"));
    sendAndWait("/safe/", "r1", "Time-Left-Ms: 700\r\n");
    BOOST_REQUIRE_EQUAL(upstream.received().size(), 1);
    BOOST_CHECK_EQUAL(upstream.received().front().header("Time-Left-Ms"), "700");
}

BOOST_AUTO_TEST_CASE(responseToAnotherRequestIsDiscarded)
{
    addUpstream("u1", [](const ReceivedRequest &request, const Peer &peer) {
        peer->write(makeResponse("another", "stale"));
        peer->write(makeResponse(request.header("Request-Id"), "mine"));
    });
    BOOST_CHECK_EQUAL(sendAndWait("/once/", "r1", "", "x")->body, "mine");
}

BOOST_AUTO_TEST_CASE(successWithoutSignatureIsNotForwarded)
{
    addUpstream("u1", respondWith("forged", 200, ""));
    BOOST_CHECK_EQUAL(sendAndWait("/once/", "r1", "", "x")->status, 502);
}

BOOST_AUTO_TEST_CASE(responseWithoutLengthIsCompleteAtConnectionClose)
{
    addUpstream("u1", [](const ReceivedRequest &request, const Peer &peer) {
        peer->write("HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: " + request.header("Request-Id")
                    + "\r\n\r\nall of it");
        peer->close();
    });
    const auto view = sendAndWait("/safe/");
    BOOST_CHECK(view->complete);
    BOOST_CHECK_EQUAL(view->body, "all of it");
}

BOOST_AUTO_TEST_CASE(requestsAreRefusedWith503WithoutConfiguration)
{
    state.configuration.reset();
    const auto view = sendAndWait("/nowhere/");
    BOOST_CHECK_EQUAL(view->status, 503);
    BOOST_CHECK_EQUAL(view->header("Retry-After"), "0.30");
}

BOOST_AUTO_TEST_CASE(unknownRoutesAndKeysAreRefused)
{
    const auto &upstream = addUpstream("u1", respondWith("done"));
    BOOST_CHECK_EQUAL(sendAndWait("/nowhere/")->status, 404);
    BOOST_CHECK_EQUAL(sendRaw("GET /safe/ HTTP/1.1\r\nHost: h\r\nKey: other\r\n\r\n").substr(9, 3),
                      "401");
    BOOST_CHECK(upstream.received().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RetryTests, GatewayFixture)

BOOST_AUTO_TEST_CASE(safeRequestIsRetriedOnceAtAnotherUpstream)
{
    const auto &first = addUpstream("u1", closeImmediately);
    const auto &second = addUpstream("u2", closeImmediately);
    const auto &third = addUpstream("u3", closeImmediately);
    BOOST_CHECK_EQUAL(sendAndWait("/safe/")->status, 502);
    BOOST_CHECK_EQUAL(first.received().size() + second.received().size() + third.received().size(),
                      2);
}

BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsSentOnce)
{
    const auto &first = addUpstream("u1", closeImmediately);
    const auto &second = addUpstream("u2", closeImmediately);
    const auto view = sendAndWait("/once/", "r1", "", "x");
    BOOST_CHECK_EQUAL(view->status, 502);
    BOOST_CHECK_EQUAL(view->header("Retry-After"), "");
    BOOST_CHECK_EQUAL(first.received().size() + second.received().size(), 1);
}

BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsRetriedAfterProofOfNoRun)
{
    addUpstream("u1", respondWith("", 503, "Not-Run: 1\r\n"));
    addUpstream("u2", respondWith("", 503, "Not-Run: 1\r\n"));
    addUpstream("u3", respondWith("done"));
    BOOST_CHECK_EQUAL(sendAndWait("/once/", "r1", "", "x")->status, 200);
}

BOOST_AUTO_TEST_CASE(refusalStatesThatTheRequestDidNotRun)
{
    addUpstream("u1", respondWith("", 503, "Not-Run: 1\r\n"));
    const auto refused = sendAndWait("/once/", "r1", "", "x");
    BOOST_CHECK_EQUAL(refused->status, 503);
    BOOST_CHECK(refused->body.find("\"ran\":\"no\"") != std::string::npos);
    BOOST_CHECK_NE(refused->header("Retry-After"), "");
}

BOOST_AUTO_TEST_CASE(upstreamFailureIsForwardedWithItsSignature)
{
    addUpstream("u1", respondWith("why", 500));
    const auto view = sendAndWait("/once/", "r1", "", "x");
    BOOST_CHECK_EQUAL(view->status, 500);
    BOOST_CHECK_EQUAL(view->header("Proof"), "p");
    BOOST_CHECK_EQUAL(view->body, "why");
}

// Guards against a status that promises "not run" for a request that its upstream ran and failed
// with its own 408, 429 or 503; the caller would send it again.
BOOST_AUTO_TEST_CASE(refusalWithoutAProofIsNotForwarded)
{
    for (const int status : { 408, 429, 503 }) {
        for (const char *path : { "/once/", "/safe/" }) {
            state.upstreams.replaceAll({}, clock.now());
            addUpstream("u-" + std::to_string(status), respondWith("ran, then failed", status));
            const auto view = sendAndWait(path, "r1", "", "x");
            BOOST_CHECK_EQUAL(view->status, 502);
            BOOST_CHECK_EQUAL(view->header("Proof"), "");
            BOOST_CHECK_EQUAL(view->header("Retry-After"), "");
            BOOST_CHECK(view->body.find("\"ran\":\"unknown\"") != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(lastFailureOfASafeRequestIsForwarded)
{
    const auto &first = addUpstream("u1", respondWith("why", 500));
    const auto &second = addUpstream("u2", respondWith("why", 500));
    const auto view = sendAndWait("/safe/");
    BOOST_CHECK_EQUAL(view->status, 500);
    BOOST_CHECK_EQUAL(view->body, "why");
    BOOST_CHECK_EQUAL(first.received().size() + second.received().size(), 2);
}

BOOST_AUTO_TEST_CASE(misdirectedRequestIsRetriedAtAnotherUpstream)
{
    addUpstream("u1", respondWith("", 421, ""));
    addUpstream("u2", respondWith("done"));
    for (int count = 0; count < 4; ++count)
        BOOST_CHECK_EQUAL(sendAndWait("/once/", "r1", "", "x")->status, 200);
}

BOOST_AUTO_TEST_CASE(truncatedSafeResponseIsRetried)
{
    const auto sendTruncated = [](const ReceivedRequest &request, const Peer &peer) {
        peer->write("HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: " + request.header("Request-Id")
                    + "\r\nContent-Length: 10\r\n\r\nhalf");
        peer->close();
    };
    addUpstream("u1", sendTruncated);
    const auto view = sendAndWait("/safe/");
    BOOST_CHECK_EQUAL(view->status, 502);
    addUpstream("u2", respondWith("whole"));
    BOOST_CHECK_EQUAL(sendAndWait("/safe/")->body, "whole");
}

BOOST_AUTO_TEST_CASE(truncatedLargeResponseIsNotRetried)
{
    const auto sendTruncated = [](const ReceivedRequest &request, const Peer &peer) {
        peer->write("HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: " + request.header("Request-Id")
                    + "\r\nContent-Length: 200000\r\n\r\n" + std::string(100'000, 'x'));
        peer->closeAfterOutput();
    };
    const auto &first = addUpstream("u1", sendTruncated);
    const auto &second = addUpstream("u2", sendTruncated);
    const auto view = sendAndWait("/safe/");
    BOOST_CHECK(view->failed);
    BOOST_CHECK_EQUAL(first.received().size() + second.received().size(), 1);
}

// An HTTP/1.0 caller takes a normal connection close as the end of a complete response, so a
// truncated one must end with a reset.
BOOST_AUTO_TEST_CASE(truncatedResponseToHttp10CallerEndsWithReset)
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

BOOST_AUTO_TEST_CASE(urgencyHeaderCarriesThePriority)
{
    ServingConfigurationParts parts = makeConfiguration();
    for (Route &route : parts.routes)
        route.priority = 3;
    parts.customers->push_back({ .name = "customer-2", .keys = { "k2" }, .priority = 1 });
    state.configuration = std::make_shared<ServingConfiguration>(parts);
    const auto &upstream = addUpstream("u1", respondWith("x"), "engines");
    sendAndWait("/stream/", "r1", "Tokens: 100,10\r\nUrgency: 0\r\n", "x");
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

// Each request would be sent to the address of the former process, and use up a retry.
BOOST_AUTO_TEST_CASE(misdirectedUpstreamGetsNoFurtherRequests)
{
    const auto &former = addUpstream("u1", respondWith("", 421));
    addUpstream("u2", respondWith("done"));
    for (int number = 1; number <= 20; ++number)
        BOOST_CHECK_EQUAL(sendAndWait("/once/", "r" + std::to_string(number))->status, 200);
    BOOST_CHECK_EQUAL(former.received().size(), 1);
}

// No gateway has a configuration and the store is away; a caller that returns at once is refused
// again.
BOOST_AUTO_TEST_CASE(callersReturnLateWhileNoConfigurationCanBeRead)
{
    state.configuration.reset();
    const auto early = sendAndWait("/safe/", "r1", "Time-Left-Ms: 9000\r\n");
    BOOST_CHECK_EQUAL(early->status, 503);
    BOOST_CHECK_EQUAL(early->header("Retry-After"), "0.30");
    advance(Seconds(1));
    const auto later = sendAndWait("/safe/", "r2", "Time-Left-Ms: 9000\r\n");
    BOOST_CHECK_EQUAL(later->status, 503);
    const double seconds = std::stod(later->header("Retry-After"));
    BOOST_CHECK_GE(seconds, 2.5);
    BOOST_CHECK_LE(seconds, 3.0);
    state.peerIsReady = true;
    const auto beside = sendAndWait("/safe/", "r3", "Time-Left-Ms: 9000\r\n");
    BOOST_CHECK_EQUAL(beside->header("Retry-After"), "0.30");
}

BOOST_AUTO_TEST_CASE(shortPromptsUseSpareEnginesOfOtherZones)
{
    const auto &own = addUpstream("own", respondWith(event(1)), "engines");
    for (std::size_t number = 0; number < UpstreamSubset::maximumSize; ++number)
        state.upstreams.put({ .id = "far-" + std::to_string(number),
                              .service = "engines",
                              .address = "127.0.0.1:1",
                              .availabilityZone = "b",
                              .capacity = 4 });
    const auto &spare = addUpstream("spare", respondWith(event(1)), "engines");
    UpstreamRecord spareRecord = *state.upstreams.find("spare");
    spareRecord.availabilityZone = "b";
    state.upstreams.put(spareRecord);
    state.subset.setOwnZoneOnly(true);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        const PlacementKey key { .gateway = "peer", .number = number };
        state.ledger.begin(key,
                           { .parts = { { .upstream = "own", .decodes = true } },
                             .expires = clock.now() + Seconds(60) },
                           clock.now());
        state.ledger.markPrefilled(key, clock.now());
    }
    state.spareEngines.record("b", { "spare" }, clock.now());
    const auto view = send("/stream/", "r1", "Tokens: 100,10\r\n", "x");
    runUntil([&] { return !spare.received().empty(); });
    BOOST_CHECK_EQUAL(spare.received().size(), 1);
    BOOST_CHECK(own.received().empty());
}

BOOST_AUTO_TEST_CASE(connectionLimitOfAnUpstreamIsRespected)
{
    ServingConfigurationParts parts = makeConfiguration();
    parts.services.front().maximumConnections = 2;
    state.configuration = std::make_shared<ServingConfiguration>(parts);
    const auto &upstream = addUpstream("u1", neverRespond);
    const auto first = send("/safe/", "r1");
    const auto second = send("/safe/", "r2");
    runUntil([&] { return upstream.received().size() == 2; });
    const auto third = sendAndWait("/safe/", "r3");
    BOOST_CHECK_EQUAL(third->status, 503);
    BOOST_CHECK(!third->header("Retry-After").empty());
    BOOST_CHECK_EQUAL(upstream.received().size(), 2);
}

// Guards against measuring the caller's patience from the arrival of the request: callers wait two
// seconds for the next event, however long the stream has run.
BOOST_AUTO_TEST_CASE(longRunningStreamResumesAtAnotherUpstream)
{
    Peer running;
    addUpstream(
            "u1",
            [&running](const ReceivedRequest &request, const Peer &peer) {
                running = peer;
                peer->write(streamHead(request) + chunk(event(1)));
            },
            "engines");
    ServingConfigurationParts parts = makeConfiguration();
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
    BOOST_CHECK(view->complete);
    BOOST_CHECK(view->body.ends_with(event(6) + event(7)));
}

// Guards against a gateway that does not learn from its streams, or places without what it learned:
// passes of the two streams take 60 ms, and 10 ms by the formula.
BOOST_AUTO_TEST_CASE(slowEngineIsLearnedFromItsStreams)
{
    for (const EngineSpeedSource source :
         { EngineSpeedSource::Published, EngineSpeedSource::Learned }) {
        state.settings.engineSpeed = source;
        const bool learns = source == EngineSpeedSource::Learned;
        const std::string id = learns ? "u2" : "u1";
        std::vector<Peer> peers;
        addUpstream(
                id,
                [&peers](const ReceivedRequest &request, const Peer &peer) {
                    peers.push_back(peer);
                    peer->write(streamHead(request) + chunk(event(1)));
                },
                "engines");
        const auto first = send("/stream/", id + "r1", "Tokens: 100\r\n");
        const auto second = send("/stream/", id + "r2", "Tokens: 100\r\n");
        BOOST_REQUIRE(runUntil([&] { return !first->body.empty() && !second->body.empty(); }));
        for (int number = 2; number <= 6; ++number) {
            advance(Milliseconds(60));
            for (const Peer &peer : peers)
                peer->write(chunk(event(number)));
            BOOST_REQUIRE(runUntil([&] {
                return first->body.ends_with(event(number))
                        && second->body.ends_with(event(number));
            }));
        }
        const auto third = send("/stream/", id + "r3", "Tokens: 100\r\n");
        BOOST_REQUIRE(runUntil([&] { return !third->body.empty(); }));
        const auto &open = state.ledger.load(id).open();
        BOOST_REQUIRE_EQUAL(open.size(), 3);
        BOOST_CHECK_CLOSE(open.rbegin()->second.prefillMs, learns ? 6 : 1, 1e-6);
        state.upstreams.remove(id, clock.now());
    }
}

// The engine hangs on one request but serves a later one; 400 ms after the later one's first event
// the earlier one counts as stalled.
BOOST_AUTO_TEST_CASE(stalledStreamIsRetriedAtAnotherUpstream)
{
    const auto hangOnFirstRequest = [](const ReceivedRequest &request, const Peer &peer) {
        if (request.header("Request-Id") != "r1")
            peer->write(streamHead(request) + chunk(event(1)));
    };
    const auto &first = addUpstream("u1", hangOnFirstRequest, "engines");
    const auto stalled = send("/stream/", "r1", "Tokens: 100\r\n");
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
    runUntil([&] { return stalled->isDone(); });
    BOOST_CHECK(stalled->complete);
    BOOST_CHECK_EQUAL(stalled->body, event(1));
    BOOST_REQUIRE_EQUAL(second.received().size(), 1);
    BOOST_CHECK_EQUAL(second.received().front().header("Request-Id"), "r1");
}

// Guards against a refusal in the middle of a response: a stopping gateway refuses new requests
// that it can't finish, but must still retry a stream whose response has begun.
BOOST_AUTO_TEST_CASE(brokenStreamResumesWhileTheGatewayStops)
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
    BOOST_CHECK(view->complete);
    BOOST_CHECK_EQUAL(view->body, event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(stalledStreamStaysWithoutRetryBudget)
{
    state.retryBudget = WindowedRetryBudget({ .ratio = 0, .slack = 0, .window = Seconds(10) });
    const auto &first = addUpstream(
            "u1",
            [](const ReceivedRequest &request, const Peer &peer) {
                if (request.header("Request-Id") != "r1")
                    peer->write(streamHead(request) + chunk(event(1)));
            },
            "engines");
    const auto stalled = send("/stream/", "r1", "Tokens: 100\r\n");
    runUntil([&] { return first.received().size() == 1; });
    advance(Milliseconds(100));
    const auto next = send("/stream/", "r2", "Tokens: 100\r\n");
    runUntil([&] { return !next->body.empty(); });
    addUpstream("u2", respondWith("x"), "engines");
    advance(Milliseconds(500));
    BOOST_CHECK(!stalled->isDone());
}

BOOST_AUTO_TEST_CASE(stalledStreamStaysWithoutAnotherUpstream)
{
    const auto &first = addUpstream(
            "u1",
            [](const ReceivedRequest &request, const Peer &peer) {
                if (request.header("Request-Id") != "r1")
                    peer->write(streamHead(request) + chunk(event(1)));
            },
            "engines");
    const auto stalled = send("/stream/", "r1", "Tokens: 100\r\n");
    runUntil([&] { return first.received().size() == 1; });
    advance(Milliseconds(100));
    const auto next = send("/stream/", "r2", "Tokens: 100\r\n");
    runUntil([&] { return !next->body.empty(); });
    advance(Milliseconds(500));
    BOOST_CHECK(!stalled->isDone());
}

BOOST_AUTO_TEST_CASE(retryBudgetLimitsRetries)
{
    state.retryBudget = WindowedRetryBudget({ .ratio = 0, .slack = 0, .window = Seconds(10) });
    const auto &first = addUpstream("u1", closeImmediately);
    const auto &second = addUpstream("u2", closeImmediately);
    BOOST_CHECK_EQUAL(sendAndWait("/safe/")->status, 502);
    BOOST_CHECK_EQUAL(first.received().size() + second.received().size(), 1);
}

BOOST_AUTO_TEST_CASE(unreachableUpstreamConsumesNoRetryBudget)
{
    state.retryBudget = WindowedRetryBudget({ .ratio = 0, .slack = 0, .window = Seconds(10) });
    addUpstream("u1", neverRespond).stopListening();
    addUpstream("u2", respondWith("done"));
    for (int count = 0; count < 3; ++count)
        BOOST_CHECK_EQUAL(sendAndWait("/once/", "r1", "", "x")->status, 200);
}

BOOST_AUTO_TEST_CASE(safeRequestIsRetriedWhenTheUpstreamIsSilent)
{
    const auto &silent = addUpstream("u1", neverRespond);
    const auto view = send("/safe/");
    BOOST_REQUIRE(runUntil([&] { return silent.received().size() == 1; }));
    addUpstream("u2", respondWith("done"));
    advance(Milliseconds(299));
    BOOST_CHECK(!view->isDone());
    advance(Milliseconds(1));
    BOOST_REQUIRE(runUntil([&] { return view->isDone(); }));
    BOOST_CHECK_EQUAL(view->body, "done");
}

BOOST_AUTO_TEST_CASE(nonIdempotentRequestStaysAtASilentUpstream)
{
    const auto &silent = addUpstream("u1", neverRespond);
    const auto &other = addUpstream("u2", neverRespond);
    const auto view = send("/once/", "r1", "", "x");
    BOOST_REQUIRE(
            runUntil([&] { return silent.received().size() + other.received().size() == 1; }));
    advance(Milliseconds(1'900));
    BOOST_CHECK(!view->isDone());
    BOOST_CHECK_EQUAL(silent.received().size() + other.received().size(), 1);
}

BOOST_AUTO_TEST_CASE(routeTimeoutEndsTheRequest)
{
    addUpstream("u1", neverRespond);
    const auto view = send("/once/", "r1", "", "x");
    BOOST_REQUIRE(runUntil([&] { return state.ledger.size() == 1; }));
    context.run_for(std::chrono::milliseconds(20));
    advance(Milliseconds(2'000));
    BOOST_REQUIRE(runUntil([&] { return view->isDone(); }));
    BOOST_CHECK_EQUAL(view->status, 504);
}

BOOST_AUTO_TEST_CASE(callerDisconnectCancelsTheAttempt)
{
    Peer seen;
    addUpstream("u1", [&](const ReceivedRequest &, const Peer &peer) { seen = peer; });
    send("/safe/");
    BOOST_REQUIRE(runUntil([&] { return seen != nullptr; }));
    disconnectLastCaller();
    BOOST_CHECK(runUntil([&] { return !seen->isOpen(); }));
    BOOST_CHECK_EQUAL(state.ledger.size(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(StreamTests, GatewayFixture)

BOOST_AUTO_TEST_CASE(eventsAreForwardedImmediately)
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
    BOOST_REQUIRE(runUntil([&] { return view->complete; }));
    BOOST_CHECK_EQUAL(view->body, event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(brokenStreamResumesAtAnotherUpstream)
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
    const auto view = sendAndWait("/stream/", "r1", "Tokens: 100\r\n");
    BOOST_CHECK(view->complete);
    BOOST_CHECK_EQUAL(view->body, event(1) + event(2) + event(3));
}

BOOST_AUTO_TEST_CASE(brokenStreamResumesAfterARefusedRetry)
{
    int refusals = 0;
    const auto script = [&](const ReceivedRequest &request, const Peer &peer) {
        if (request.header("Last-Event-Id").empty()) {
            peer->write(streamHead(request) + chunk(event(1)));
            peer->close();
        } else if (++refusals == 1) {
            peer->write(makeResponse(request.header("Request-Id"), "", 503, "Not-Run: 1\r\n"));
        } else {
            peer->write(streamHead(request) + chunk(event(2)) + "0\r\n\r\n");
        }
    };
    for (const char *id : { "e1", "e2", "e3" })
        addUpstream(id, script, "engines");
    const auto view = sendAndWait("/stream/", "r1", "Tokens: 100\r\n");
    BOOST_CHECK(view->complete);
    BOOST_CHECK_EQUAL(view->body, event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(brokenNonResumableStreamFails)
{
    const auto script = [](const ReceivedRequest &request, const Peer &peer) {
        peer->write(streamHead(request) + chunk(event(1)));
        peer->close();
    };
    addUpstream("e1", script, "engines");
    addUpstream("e2", script, "engines");
    const auto view = sendAndWait("/fixed-stream/", "r1", "Tokens: 100\r\n");
    BOOST_CHECK(view->failed);
    BOOST_CHECK(!view->complete);
}

BOOST_AUTO_TEST_CASE(oversizedEventFailsTheRequest)
{
    addUpstream(
            "e1",
            [](const ReceivedRequest &request, const Peer &peer) {
                peer->write(streamHead(request) + chunk(std::string(2'000'000, 'x')));
            },
            "engines");
    const auto view = sendAndWait("/fixed-stream/", "r1", "Tokens: 100\r\n");
    BOOST_CHECK_EQUAL(view->status, 502);
}

BOOST_AUTO_TEST_CASE(helperMemoryIsReservedAndReleased)
{
    std::vector<std::string> controlCalls;
    const auto script = [&](const ReceivedRequest &request, const Peer &peer) {
        if (request.head.target.starts_with("/re")) {
            controlCalls.push_back(request.head.target.substr(0, 8));
            peer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        BOOST_CHECK(request.header("Helpers").find("/r1-0-0;") != std::string::npos);
        peer->write(streamHead(request) + chunk(event(1)) + "0\r\n\r\n");
    };
    addUpstream("e1", script, "engines");
    addUpstream("e2", script, "engines");
    const auto view = sendAndWait("/stream/", "r1", "Tokens: 12000\r\n");
    BOOST_CHECK(view->complete);
    BOOST_CHECK(runUntil([&] { return controlCalls.size() == 2; }));
    BOOST_CHECK((controlCalls == std::vector<std::string> { "/reserve", "/release" }));
}

BOOST_AUTO_TEST_CASE(rejectedReservationIsAnsweredWith503)
{
    const auto script = [](const ReceivedRequest &, const Peer &peer) {
        peer->write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    };
    addUpstream("e1", script, "engines");
    addUpstream("e2", script, "engines");
    const auto view = sendAndWait("/stream/", "r1", "Tokens: 12000\r\n");
    BOOST_CHECK_EQUAL(view->status, 503);
}

BOOST_AUTO_TEST_SUITE_END()
