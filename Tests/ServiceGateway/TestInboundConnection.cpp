#include "GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

ScriptedUpstream::Script echoTarget()
{
    return [](const ReceivedRequest &request, const std::shared_ptr<ScriptedConnection> &peer) {
        peer->write(
                GatewayFixture::makeResponse(request.header("Request-Id"), request.head.target));
    };
}

std::string statusCode(const std::string &response)
{
    return response.size() < 12 ? response : response.substr(9, 3);
}

std::size_t countOccurrences(const std::string &text, const std::string &part)
{
    std::size_t occurrences = 0;
    for (std::size_t position = text.find(part); position != std::string::npos;
         position = text.find(part, position + 1))
        ++occurrences;
    return occurrences;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(InboundConnectionTests, GatewayFixture)

BOOST_AUTO_TEST_CASE(malformedRequestsAreRejected)
{
    const auto &upstream = addUpstream("u1", echoTarget());
    const std::string start = "POST /safe/ HTTP/1.1\r\nKey: k\r\n";
    const std::string host = "Host: h\r\n";
    BOOST_CHECK_EQUAL(statusCode(sendRaw(start + "\r\n")), "400");
    BOOST_CHECK_EQUAL(statusCode(sendRaw(start + host + host + "\r\n")), "400");
    BOOST_CHECK_EQUAL(
            statusCode(sendRaw(start + host
                               + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0")),
            "400");
    BOOST_CHECK_EQUAL(
            statusCode(sendRaw(start + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab")),
            "400");
    BOOST_CHECK_EQUAL(
            statusCode(sendRaw(start + host + "X: " + std::string(3'000, 'x') + "\r\n\r\n")),
            "431");
    BOOST_CHECK_EQUAL(statusCode(sendRaw(start + host + "Content-Length: 200000\r\n\r\n")), "413");
    BOOST_CHECK(upstream.received().empty());
    BOOST_CHECK_EQUAL(
            state.metrics.counter("lavenderpick_refusals_total", "reason=\"body_too_large\""), 1);
}

BOOST_AUTO_TEST_CASE(requestsOnOneConnectionAreAnsweredInOrder)
{
    addUpstream("u1", echoTarget());
    std::string requests;
    for (const char *path : { "/safe/1", "/safe/2", "/nowhere/" })
        requests += std::string("GET ") + path
                + " HTTP/1.1\r\nHost: h\r\nKey: k\r\nRequest-Id: " + path + "\r\n\r\n";
    const std::string response = sendRaw(requests);
    BOOST_CHECK_EQUAL(countOccurrences(response, "HTTP/1.1 200"), 2);
    BOOST_CHECK_LT(response.find("Request-Id: /safe/1"), response.find("Request-Id: /safe/2"));
    BOOST_CHECK_EQUAL(countOccurrences(response, "HTTP/1.1 404"), 1);
}

BOOST_AUTO_TEST_CASE(totalBufferedBodyBytesAreLimited)
{
    state.settings.memoryBytes = 30'000;
    const auto first = connect();
    const std::string head = "POST /safe/ HTTP/1.1\r\nHost: h\r\nKey: k\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    asio::write(*first, asio::buffer(head + "1770\r\n" + std::string(6'000, 'x') + "\r\n"));
    BOOST_REQUIRE(runUntil([&] { return state.bufferedBytes == 6'000; }));
    BOOST_CHECK_EQUAL(statusCode(sendRaw(head + "1770\r\n" + std::string(6'000, 'x') + "\r\n")),
                      "503");
    BOOST_CHECK_EQUAL(state.bufferedBytes, 6'000);
    first->close();
    BOOST_CHECK(runUntil([&] { return state.bufferedBytes == 0; }));
}

BOOST_AUTO_TEST_CASE(slowRequestHeadTimesOut)
{
    const auto socket = connect();
    asio::write(*socket, asio::buffer(std::string("GET /safe/ HTTP/1.1\r\nHo")));
    runUntil([&] { return false; }, std::chrono::milliseconds(30));
    advance(Milliseconds(3'001));
    BOOST_CHECK_EQUAL(statusCode(receive(*socket)), "408");
}

BOOST_AUTO_TEST_CASE(idleConnectionIsClosed)
{
    const auto socket = connect();
    runUntil([&] { return false; }, std::chrono::milliseconds(30));
    advance(Seconds(16));
    BOOST_CHECK_EQUAL(receive(*socket), "");
}

BOOST_AUTO_TEST_CASE(stoppingGatewaySendsConnectionClose)
{
    addUpstream("u1", echoTarget());
    state.stop.begin(clock.now());
    const auto view = sendAndWait("/safe/");
    BOOST_CHECK_EQUAL(view->status, 200);
    BOOST_CHECK_EQUAL(view->header("Connection"), "close");
}

BOOST_AUTO_TEST_CASE(stoppingGatewayAcceptsOnlyRequestsItCanFinish)
{
    ScriptedUpstream &upstream = addUpstream("u1", echoTarget());
    state.stop.setGracePeriod(Seconds(8));
    state.stop.begin(clock.now());
    clock.advance(Seconds(5));
    BOOST_CHECK_EQUAL(sendAndWait("/safe/")->status, 200);
    clock.advance(Milliseconds(2'590));
    const auto late = sendAndWait("/safe/", "r2");
    BOOST_CHECK_EQUAL(late->status, 503);
    BOOST_CHECK_EQUAL(late->header("Retry-After"), "1.00");
    BOOST_CHECK_EQUAL(upstream.received().size(), 1U);
}

// A thousand callers that read slowly must not use up the memory of a small VM.
BOOST_AUTO_TEST_CASE(pendingOutputIsBoundedByTheMemory)
{
    state.settings.memoryBytes = 160 * 1'048'576;
    BOOST_CHECK_EQUAL(state.maximumPendingResponse(), 262'144);
    state.openRequests = 1'000;
    BOOST_CHECK_LE(1'000 * state.maximumPendingResponse(), 40 * 1'048'576);
    state.openRequests = 100'000;
    BOOST_CHECK_EQUAL(state.maximumPendingResponse(), 16'384);
    state.openRequests = 0;
}

// A last chunk followed such responses, which the caller took for the start of the next one.
BOOST_AUTO_TEST_CASE(nothingFollowsAResponseWithoutABody)
{
    int status = 200;
    std::string framing;
    addUpstream("u1", [&](const ReceivedRequest &request, const auto &peer) {
        peer->write("HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: "
                    + request.header("Request-Id") + "\r\nProof: p\r\n" + framing + "\r\n");
    });
    struct Case
    {
        std::string method;
        int status { 200 };
        std::string framing;
    };
    const std::vector<Case> cases { { "HEAD", 200, "Transfer-Encoding: chunked\r\n" },
                                    { "HEAD", 200, "Content-Length: 7\r\n" },
                                    { "HEAD", 404, "Content-Length: 7\r\n" },
                                    { "HEAD", 200, "" },
                                    { "GET", 204, "" },
                                    { "GET", 204, "Transfer-Encoding: chunked\r\n" },
                                    { "GET", 205, "Content-Length: 0\r\n" },
                                    { "GET", 304, "" },
                                    { "GET", 304, "Content-Length: 7\r\n" } };
    for (const Case &current : cases) {
        status = current.status;
        framing = current.framing;
        const std::string bytes = sendRaw(current.method
                                          + " /safe/ HTTP/1.1\r\nHost: h\r\nKey: k\r\n"
                                            "Request-Id: r1\r\nConnection: close\r\n\r\n");
        const std::string name = current.method + " " + std::to_string(status) + " " + framing;
        BOOST_CHECK_MESSAGE(bytes.starts_with("HTTP/1.1 " + std::to_string(status)), name);
        BOOST_CHECK_MESSAGE(bytes.ends_with("\r\n\r\n"), name);
        BOOST_CHECK_MESSAGE(bytes.find("\r\n\r\n") == bytes.size() - 4, name + bytes);
    }
}

BOOST_AUTO_TEST_SUITE_END()
