#include "GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

using Peer = std::shared_ptr<ScriptedConnection>;

std::string chunk(const std::string &bytes)
{
    std::string out;
    appendChunk(bytes, out);
    return out;
}

/// Writes the same bytes again and again, until the caller closes the connection.
class EndlessWriter : public std::enable_shared_from_this<EndlessWriter>
{
public:
    EndlessWriter(asio::io_context &context, Peer peer, std::string bytes)
        : m_context(context)
        , m_peer(std::move(peer))
        , m_bytes(std::move(bytes))
    { }

    void write()
    {
        if (!m_peer->isOpen())
            return;
        m_peer->write(m_bytes);
        asio::post(m_context, [self = shared_from_this()] { self->write(); });
    }

private:
    asio::io_context &m_context;
    Peer m_peer;
    std::string m_bytes;
};

struct Fixture : GatewayFixture
{
    /// Writes `start`, then `repeated` without end, for each request.
    ScriptedUpstream::Script writeEndlessly(const std::string &start, const std::string &repeated)
    {
        return [this, start, repeated](const ReceivedRequest &, const Peer &peer) {
            peer->write(start);
            std::make_shared<EndlessWriter>(context, peer, repeated)->write();
        };
    }

    /// The status that a caller gets from an upstream with the script while the clock stands still.
    int statusFor(const ScriptedUpstream::Script &script)
    {
        addUpstream("u1", script);
        return sendAndWait("/once/")->status;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamsInTroubleTests, Fixture)

BOOST_AUTO_TEST_CASE(endlessInterimResponsesEndTheAttempt)
{
    BOOST_CHECK_EQUAL(statusFor(writeEndlessly("", "HTTP/1.1 100 Continue\r\n\r\n")), 502);
    BOOST_CHECK_EQUAL(state.ledger.size(), 0);
}

BOOST_AUTO_TEST_CASE(endlessHeadEndsTheAttempt)
{
    BOOST_CHECK_EQUAL(statusFor(writeEndlessly("HTTP/1.1 200 OK\r\n", "Field: value\r\n")), 502);
}

BOOST_AUTO_TEST_CASE(endlessBytesThatAreNoResponseEndTheAttempt)
{
    BOOST_CHECK_EQUAL(statusFor(writeEndlessly("", "\r\n\r\n\r\n\r\n")), 502);
}

BOOST_AUTO_TEST_CASE(endlessResponsesToOtherRequestsEndTheAttempt)
{
    BOOST_CHECK_EQUAL(statusFor(writeEndlessly("", makeResponse("other", std::string(500, 'x')))),
                      502);
}

BOOST_AUTO_TEST_CASE(endlessBodyOfAFailureEndsTheAttempt)
{
    const std::string head = "HTTP/1.1 500 X\r\nRequest-Id: r1\r\nProof: p\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    BOOST_CHECK_EQUAL(statusFor(writeEndlessly(head, chunk(std::string(1'000, 'x')))), 502);
}

// The head alone proves that the request did not run.
BOOST_AUTO_TEST_CASE(endlessBodyOfARefusalIsARefusal)
{
    const std::string head = "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Run: 1\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    addUpstream("u1", writeEndlessly(head, chunk(std::string(1'000, 'x'))));
    const auto response = sendAndWait("/once/");
    BOOST_CHECK_EQUAL(response->status, 503);
    BOOST_CHECK(!response->header("Retry-After").empty());
}

// A shortened body must not reach the caller as the upstream's whole one.
BOOST_AUTO_TEST_CASE(longBodyOfAFailureIsNotShortened)
{
    const auto script = [](const ReceivedRequest &request, const Peer &peer) {
        peer->write(makeResponse(request.header("Request-Id"), std::string(100'000, 'x'), 500));
    };
    BOOST_CHECK_EQUAL(statusFor(script), 502);
}

BOOST_AUTO_TEST_CASE(endlessSuccessIsCutAtTheDeadline)
{
    const std::string head = "HTTP/1.1 200 X\r\nRequest-Id: r1\r\nProof: p\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    addUpstream("u1", writeEndlessly(head, chunk(std::string(1'000, 'x'))));
    const auto response = send("/once/");
    BOOST_REQUIRE(runUntil([&] { return response->body.size() > 1'000'000; }));
    advance(Seconds(2));
    BOOST_REQUIRE(runUntil([&] { return response->isDone(); }));
    BOOST_CHECK(response->failed);
    BOOST_CHECK_EQUAL(state.ledger.size(), 0);
}

BOOST_AUTO_TEST_CASE(reservationWithAnEndlessResponseFails)
{
    int plainRequests = 0;
    for (const char *id : { "u1", "u2", "u3" })
        addUpstream(
                id,
                [&](const ReceivedRequest &request, const Peer &peer) {
                    plainRequests += request.head.target == "/stream/" ? 1 : 0;
                    if (!request.head.target.starts_with("/reserve/"))
                        return;
                    peer->write("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n");
                    std::make_shared<EndlessWriter>(context, peer, chunk(std::string(1'000, 'x')))
                            ->write();
                },
                "engines");
    const auto response = sendAndWait("/stream/", "r1", "Tokens: 15000,10\r\n", "x");
    BOOST_CHECK_EQUAL(response->status, 503);
    BOOST_CHECK_EQUAL(plainRequests, 0);
}

// The upstream sends a second copy of an answer, late, on a connection that is in use again.
BOOST_AUTO_TEST_CASE(lateCopyOfAnAnswerReachesNoOtherCaller)
{
    const auto script = [](const ReceivedRequest &request, const Peer &peer) {
        const std::string id = request.header("Request-Id");
        const std::string copy = id == "r2" ? makeResponse("r1", "first") : "";
        peer->write(copy + makeResponse(id, id == "r1" ? "first" : "second"));
    };
    const auto &upstream = addUpstream("u1", script);
    BOOST_CHECK_EQUAL(sendAndWait("/once/", "r1")->body, "first");
    BOOST_CHECK_EQUAL(sendAndWait("/once/", "r2")->body, "second");
    BOOST_CHECK_EQUAL(upstream.connectionCount(), 1);
}

BOOST_AUTO_TEST_CASE(copyThatArrivesBetweenRequestsClosesTheConnection)
{
    Peer connection;
    const auto script = [&](const ReceivedRequest &request, const Peer &peer) {
        connection = peer;
        peer->write(makeResponse(request.header("Request-Id"), "done"));
    };
    const auto &upstream = addUpstream("u1", script);
    BOOST_CHECK_EQUAL(sendAndWait("/once/", "r1")->body, "done");
    connection->write(makeResponse("r1", "done"));
    runUntil([&] { return state.pool.idleCount("u1") == 0 || !connection->isOpen(); });
    BOOST_CHECK_EQUAL(sendAndWait("/once/", "r2")->body, "done");
    BOOST_CHECK_EQUAL(upstream.connectionCount(), 2);
}

// Without an id, a late copy that claims that nothing ran would be taken for the next request's.
BOOST_AUTO_TEST_CASE(lateCopyWithoutAnIdProvesNothing)
{
    const auto script = [](const ReceivedRequest &request, const Peer &peer) {
        const std::string id = request.header("Request-Id");
        if (id == "r2")
            peer->write("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        peer->write(makeResponse(id, "done"));
    };
    addUpstream("u1", script);
    BOOST_CHECK_EQUAL(sendAndWait("/once/", "r1")->status, 200);
    BOOST_CHECK_EQUAL(sendAndWait("/once/", "r2")->status, 502);
}

// Guards against the same for a request that has no id itself, where every copy may be its own.
BOOST_AUTO_TEST_CASE(requestWithoutAnIdGetsAConnectionOfItsOwn)
{
    int requests = 0;
    const auto script = [&](const ReceivedRequest &request, const Peer &peer) {
        if (++requests == 2)
            peer->write("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        else
            peer->write(makeResponse(request.header("Request-Id"), "done"));
    };
    const auto &upstream = addUpstream("u1", script);
    BOOST_CHECK_EQUAL(sendAndWait("/once/", "r1")->status, 200);
    sendRaw("GET /once/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nConnection: close\r\n\r\n");
    BOOST_CHECK_EQUAL(requests, 2);
    BOOST_CHECK_EQUAL(upstream.connectionCount(), 2);
}

// Guards against a stream that ends as complete, or goes on with other text, where the upstream
// that should resume it succeeds with something else.
BOOST_AUTO_TEST_CASE(successOfAnotherKindDoesNotResumeAStream)
{
    const std::vector<std::string> others {
        "HTTP/1.1 204 X\r\nRequest-Id: r1\r\nProof: p\r\n\r\n",
        "HTTP/1.1 206 X\r\nRequest-Id: r1\r\nProof: p\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 X\r\nRequest-Id: r1\r\nProof: p\r\nContent-Type: text/html\r\n"
        "Content-Length: 12\r\n\r\n<p>no</p>\r\n\n",
    };
    for (const std::string &other : others) {
        state.upstreams.replaceAll({}, clock.now());
        int requests = 0;
        const auto script = [&](const ReceivedRequest &, const Peer &peer) {
            if (++requests > 1) {
                peer->write(other);
                return;
            }
            peer->write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p\r\n"
                        "Content-Type: text/event-stream; charset=utf-8\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n"
                        + chunk("id: 1\ndata: x\n\n"));
            peer->closeAfterOutput();
        };
        for (const char *id : { "u1", "u2" })
            addUpstream(id, script, "engines");
        const auto response = sendAndWait("/stream/", "r1", "Tokens: 100,10\r\n", "x");
        BOOST_CHECK_EQUAL(requests, 2);
        BOOST_CHECK_MESSAGE(response->failed, other);
        BOOST_CHECK_EQUAL(response->body, "id: 1\ndata: x\n\n");
    }
}

// Guards against an event that comes twice, where it had no id and the stream resumes before it.
BOOST_AUTO_TEST_CASE(streamWithEventsAfterTheLastIdIsNotResumed)
{
    const auto script = [](const ReceivedRequest &request, const Peer &peer) {
        const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";
        const std::string unnamed = "data: y\n\n";
        if (request.header("Last-Event-Id").empty())
            peer->write(head + chunk("id: 1\ndata: x\n\n" + unnamed));
        else
            peer->write(head + chunk(unnamed) + std::string(lastChunk));
        peer->closeAfterOutput();
    };
    for (const char *id : { "u1", "u2" })
        addUpstream(id, script, "engines");
    const auto response = sendAndWait("/stream/", "r1", "Tokens: 100,10\r\n", "x");
    BOOST_CHECK(response->failed);
    BOOST_CHECK_EQUAL(response->body, "id: 1\ndata: x\n\ndata: y\n\n");
}

// Comments keep a connection alive, but they are no sign that the engine works on the stream.
BOOST_AUTO_TEST_CASE(commentsAreForwardedButAreNoProgress)
{
    Peer connection;
    addUpstream(
            "u1",
            [&](const ReceivedRequest &request, const Peer &peer) {
                connection = peer;
                peer->write("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
                            + "\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + chunk(": waiting\n\n"));
            },
            "engines");
    const auto response = send("/stream/", "r1", "Tokens: 100,10\r\n", "x");
    BOOST_REQUIRE(runUntil([&] { return !response->body.empty(); }));
    BOOST_CHECK_EQUAL(response->body, ": waiting\n\n");
    BOOST_CHECK_EQUAL(state.ledger.load("u1").decodingRequests(), 0);
    connection->write(chunk("id: 1\ndata: x\n\n"));
    BOOST_REQUIRE(runUntil([&] { return state.ledger.load("u1").decodingRequests() == 1; }));
}

BOOST_AUTO_TEST_CASE(promptPartThatCrashesUpstreamsReachesNoFurtherUpstreams)
{
    std::size_t crashes = 0;
    const auto script = [&](const ReceivedRequest &request, const Peer &peer) {
        if (request.head.headers.count("Part") > 1) {
            ++crashes;
            peer->close();
            return;
        }
        peer->write("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
                    + "\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + chunk("id: 1\ndata: x\n\n") + std::string(lastChunk));
    };
    for (int index = 0; index < 8; ++index)
        addUpstream("u" + std::to_string(index), script, "engines");
    const std::string sound = "Tokens: 100,10\r\nPart: shared\r\n";
    const std::string harmful = sound + "Part: bad\r\n";
    int soundServed = 0;
    for (int index = 0; index < 8; ++index) {
        const std::string id = std::to_string(index);
        soundServed += sendAndWait("/stream/", "sound-" + id, sound, "x")->status == 200 ? 1 : 0;
        if (index >= 3)
            sendAndWait("/stream/", "harmful-" + id, harmful, "x");
        advance(Milliseconds(400));
    }
    BOOST_CHECK_EQUAL(soundServed, 8);
    BOOST_CHECK_LE(crashes, 6);
    const auto rejected = sendAndWait("/stream/", "harmful", harmful, "x");
    BOOST_CHECK_EQUAL(rejected->status, 503);
    BOOST_CHECK_MESSAGE(rejected->body.find("quarantined_prompt") != std::string::npos,
                        rejected->body);
    BOOST_CHECK_EQUAL(rejected->header("Retry-After").empty(), false);
}

// Without a length or chunks, the end of the connection is all that ends the response.
BOOST_AUTO_TEST_CASE(streamThatEndsInsideAnEventWithItsConnectionIsResumed)
{
    const auto script = [](const ReceivedRequest &request, const Peer &peer) {
        const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
                + "\r\nProof: p\r\nConnection: close\r\n\r\n";
        if (request.header("Last-Event-Id").empty())
            peer->write(head + "id: 1\ndata: x\n\nid: 2\nda");
        else
            peer->write(head + "id: 2\ndata: y\n\n");
        peer->closeAfterOutput();
    };
    addUpstream("u1", script, "engines");
    addUpstream("u2", script, "engines");
    const auto response = sendAndWait("/stream/", "r1", "Tokens: 100,10\r\n", "x");
    BOOST_CHECK(response->complete);
    BOOST_CHECK_EQUAL(response->body, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
}

BOOST_AUTO_TEST_CASE(upstreamGetsNoMoreRequestsThanTheLimitThatItNames)
{
    const auto respond = [](const std::string &extraHeaders) {
        return [=](const ReceivedRequest &request, const Peer &peer) {
            peer->write(makeResponse(request.header("Request-Id"), "done", 200,
                                     "Proof: p\r\n" + extraHeaders));
        };
    };
    const auto &limited = addUpstream("u1", respond("Rate-Limit: 2\r\n"));
    std::vector<std::shared_ptr<CallerResponse>> responses;
    // Ten requests a second for eight seconds; some wait for their turn.
    for (int index = 0; index < 80; ++index) {
        responses.push_back(send("/once/", "r" + std::to_string(index)));
        runUntil([&] { return responses.back()->isDone(); }, std::chrono::milliseconds(30));
        advance(Milliseconds(100));
    }
    int served = 0;
    int refused = 0;
    for (const auto &response : responses) {
        runUntil([&] { return response->isDone(); });
        served += response->status == 200 ? 1 : 0;
        refused += response->status == 503 && !response->header("Retry-After").empty() ? 1 : 0;
    }
    BOOST_CHECK_LE(limited.received().size(), 8 * 2 + 2);
    BOOST_CHECK_GE(served, 8);
    BOOST_CHECK_EQUAL(served + refused, 80);
    // Another upstream takes the rest.
    const auto &free = addUpstream("u2", respond(""));
    for (int index = 0; index < 20; ++index)
        BOOST_CHECK_EQUAL(sendAndWait("/once/", "s" + std::to_string(index))->status, 200);
    BOOST_CHECK_GE(free.received().size(), 18);
}

BOOST_AUTO_TEST_CASE(limitThatIsNoLongerNamedIsLifted)
{
    bool isLimited = true;
    addUpstream("u1", [&](const ReceivedRequest &request, const Peer &peer) {
        peer->write(makeResponse(request.header("Request-Id"), "done", 200,
                                 isLimited ? "Proof: p\r\nRate-Limit: 1\r\n" : "Proof: p\r\n"));
    });
    sendAndWait("/once/");
    sendAndWait("/once/");
    BOOST_CHECK_EQUAL(sendAndWait("/once/")->status, 503);
    isLimited = false;
    advance(Seconds(3));
    for (int index = 0; index < 10; ++index)
        BOOST_CHECK_EQUAL(sendAndWait("/once/")->status, 200);
}

// Orders that were open when their request ended had no time limit, and kept a connection each.
BOOST_AUTO_TEST_CASE(ordersThatAnEngineNeverAnswersEndAfterTheirRequest)
{
    int releases = 0;
    for (const char *id : { "u1", "u2", "u3" })
        addUpstream(
                id,
                [&](const ReceivedRequest &request, const Peer &peer) {
                    releases += request.head.target.starts_with("/release/") ? 1 : 0;
                    if (request.head.target.starts_with("/reserve/"))
                        peer->write(makeResponse("", ""));
                    else if (request.head.target == "/stream/")
                        peer->write(makeResponse("r1", "id: 1\n\n", 200, "Proof: p\r\n"));
                },
                "engines");
    const auto response = sendAndWait("/stream/", "r1", "Tokens: 15000,10\r\n", "x");
    BOOST_CHECK_EQUAL(response->status, 200);
    BOOST_REQUIRE(runUntil([&] { return releases > 0; }));
    BOOST_CHECK_GT(state.engineCalls.size(), 0);
    advance(Milliseconds(500));
    BOOST_CHECK_EQUAL(state.engineCalls.size(), 0);
}

BOOST_AUTO_TEST_SUITE_END()
