#include "lavenderpick/Forward/HttpParser.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

/// Counts the parsed heads and messages, and joins the body.
struct Collector : MessageListener
{
    int heads { 0 };
    int messages { 0 };
    std::string body;

    void headParsed() override { ++heads; }
    void bodyParsed(std::string_view bytes) override { body.append(bytes); }
    void messageParsed() override { ++messages; }
};

struct Fixture
{
    Collector collector;
    HttpParser requests { HttpParser::MessageType::Request, collector };
    HttpParser responses { HttpParser::MessageType::Response, collector };

    void feedByteByByte(HttpParser &parser, std::string_view bytes)
    {
        for (const char byte : bytes)
            parser.feed({ &byte, 1 });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpParserTests, Fixture)

BOOST_AUTO_TEST_CASE(parsesARequestWithContentLengthByteByByte)
{
    feedByteByByte(requests,
                   "POST /a/b?x=1 HTTP/1.1\r\nHost: h:80\r\nContent-Length: 3\r\n\r\nabc");
    BOOST_CHECK(requests.state() == HttpParser::State::Complete);
    BOOST_CHECK_EQUAL(requests.request().method, "POST");
    BOOST_CHECK_EQUAL(requests.request().target, "/a/b?x=1");
    BOOST_CHECK_EQUAL(requests.request().path(), "/a/b");
    BOOST_CHECK_EQUAL(requests.request().host(), "h");
    BOOST_CHECK(requests.request().framing == BodyFraming::Length);
    BOOST_CHECK_EQUAL(collector.body, "abc");
}

BOOST_AUTO_TEST_CASE(joinsChunksAndDropsTrailers)
{
    feedByteByByte(requests,
                   "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nab\r\n1;x=y\r\nc\r\n0\r\nTrailer: t\r\n\r\n");
    BOOST_CHECK(requests.state() == HttpParser::State::Complete);
    BOOST_CHECK_EQUAL(collector.body, "abc");
    BOOST_CHECK(requests.request().headers.find("Trailer") == nullptr);
}

BOOST_AUTO_TEST_CASE(stopsAtTheEndOfAMessage)
{
    const std::string first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string both = first + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    BOOST_CHECK_EQUAL(requests.feed(both), first.size());
    BOOST_CHECK_EQUAL(collector.messages, 1);
    requests.reset();
    requests.feed(std::string_view(both).substr(first.size()));
    BOOST_CHECK_EQUAL(requests.request().target, "/2");
}

// Guards against an answer with a status such as 000, which was taken for an interim response.
BOOST_AUTO_TEST_CASE(rejectsResponsesWithoutAUsableStatus)
{
    for (int status = 0; status <= 999; ++status) {
        responses.reset();
        collector.heads = 0;
        responses.feed("HTTP/1.1 " + std::to_string(1'000 + status).substr(1)
                       + " X\r\nContent-Length: 1\r\n\r\n");
        const bool isUsable = status >= 100 && status <= 599 && status != 101;
        BOOST_CHECK_MESSAGE((responses.state() != HttpParser::State::Failed) == isUsable, status);
        BOOST_CHECK_MESSAGE(collector.heads == (isUsable ? 1 : 0), status);
    }
}

BOOST_AUTO_TEST_CASE(rejectsAmbiguousAndInvalidBodyLengths)
{
    for (const char *head : { "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                              "Content-Length: 3\r\nContent-Length: 4\r\n",
                              "Content-Length: -1\r\n", "Content-Length: 3x\r\n" }) {
        requests.reset();
        requests.feed(std::string("POST / HTTP/1.1\r\nHost: h\r\n") + head + "\r\nabc");
        BOOST_CHECK_MESSAGE(requests.state() == HttpParser::State::Failed, head);
    }
}

// Guards against requests that another recipient reads in another way: with more, fewer or other
// fields, with another body, or as more than one request.
BOOST_AUTO_TEST_CASE(rejectsRequestsThatCanBeReadInAnotherWay)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string ending = "0\r\n\r\n";
    const std::vector<std::string> fields {
        // Names
        "X-Private : 1\r\n\r\n",
        "X-Private\t: 1\r\n\r\n",
        " X: 1\r\n\r\n",
        ": 1\r\n\r\n",
        "X\r\n\r\n",
        "X(: 1\r\n\r\n",
        "X\x80: 1\r\n\r\n",
        std::string("X\0Y: 1\r\n\r\n", 11),
        // Values and lines
        "X: 1\r\n 2\r\n\r\n",
        "X: 1\r\n\t2\r\n\r\n",
        "X: 1\nY: 2\r\n\r\n",
        "X: 1\rY: 2\r\n\r\n",
        std::string("X: 1\0\r\n\r\n", 10),
        "X: \x0b\r\n\r\n",
        "X: \x7f\r\n\r\n",
        "X: 1\n\n",
        // Lengths
        "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
        "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "Content-Length: 1, 1\r\n\r\na",
        "Content-Length: +1\r\n\r\na",
        "Content-Length: -1\r\n\r\na",
        "Content-Length: 1 1\r\n\r\na",
        "Content-Length: 0x1\r\n\r\na",
        "Content-Length: 1a\r\n\r\na",
        "Content-Length:\r\n\r\n",
        "Content-Length: 18446744073709551616\r\n\r\n",
        "Content-Length : 1\r\n\r\na",
        // Codings
        "Content-Length: 5\r\n" + chunked + ending,
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + ending,
        "Transfer-Encoding: chunked\r\n" + chunked + ending,
        "Transfer-Encoding: identity\r\n" + chunked + ending,
        "Transfer-Encoding: identity\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n" + ending,
        "Transfer-Encoding: gzip, chunked\r\n\r\n" + ending,
        "Transfer-Encoding: chunked, identity\r\n\r\n" + ending,
        "Transfer-Encoding: \x0b"
        "chunked\r\n\r\n"
                + ending,
        "Transfer-Encoding : chunked\r\n\r\n" + ending,
        "Transfer-Encoding:\r\n\r\n" + ending,
        // Chunks
        chunked + "2\r\nokXX" + ending,
        chunked + "2\r\nok" + ending,
        chunked + "2\nok\r\n" + ending,
        chunked + "2;a=\nb\r\nok\r\n" + ending,
        chunked + "2;a\r\r\nok\r\n" + ending,
        chunked + "0x2\r\nok\r\n" + ending,
        chunked + "+2\r\nok\r\n" + ending,
        chunked + "-2\r\nok\r\n" + ending,
        chunked + " 2\r\nok\r\n" + ending,
        chunked + "10000000000000002\r\nok\r\n" + ending,
        chunked + "g\r\n" + ending,
        chunked + "\r\n" + ending,
        chunked + "0\r\nX : 1\r\n\r\n",
    };
    for (const std::string &rest : fields) {
        const std::string request = "POST /a HTTP/1.1\r\nHost: h\r\n" + rest;
        for (const std::size_t piece : { request.size(), std::size_t { 1 } }) {
            requests.reset();
            collector.messages = 0;
            std::string_view input = request;
            while (!input.empty() && requests.state() != HttpParser::State::Failed) {
                const std::size_t taken = requests.feed(input.substr(0, piece));
                input.remove_prefix(std::min(taken, input.size()));
            }
            BOOST_CHECK_MESSAGE(requests.state() == HttpParser::State::Failed, rest);
            BOOST_CHECK_MESSAGE(!requests.failure().empty(), rest);
            BOOST_CHECK_MESSAGE(collector.messages == 0, rest);
        }
    }
    // Trailers are read up to their end.
    requests.reset();
    requests.feed("POST /a HTTP/1.1\r\nHost: h\r\n" + chunked + "0\r\n\n\r\n");
    BOOST_CHECK(requests.state() == HttpParser::State::Body);
    requests.feed("\r\n");
    BOOST_CHECK(requests.state() == HttpParser::State::Failed);
    for (const char *line :
         { "GET  / HTTP/1.1", "GET / HTTP/1.1 ", "GET / HTTP/1.2", "GET / HTTP/2.0", "GET /",
           "GET /a b HTTP/1.1", "GET /\xc2\xa0 HTTP/1.1", "GET /\t HTTP/1.1", "G(T / HTTP/1.1",
           " GET / HTTP/1.1", "get / http/1.1", "GET http://other/ HTTP/1.1", "GET other/ HTTP/1.1",
           "GET * HTTP/1.1", "CONNECT h:1 HTTP/1.1", "\r\n\r\nGET / HTTP/1.1" }) {
        requests.reset();
        requests.feed(std::string(line) + "\r\nHost: h\r\n\r\n");
        BOOST_CHECK_MESSAGE(requests.state() == HttpParser::State::Failed, line);
    }
}

// Guards against checks that reject what RFC 9112 allows.
BOOST_AUTO_TEST_CASE(acceptsUnusualRequests)
{
    struct Case
    {
        std::string request;
        std::string body;
    };
    const std::vector<Case> cases {
        { "\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na", "a" },
        { "POST / HTTP/1.1\r\nContent-Length: 003\r\n\r\nabc", "abc" },
        { "POST / HTTP/1.1\r\nContent-Length:1 \t\r\n\r\na", "a" },
        { "POST / HTTP/1.1\r\ntransfer-encoding:\tChunked \r\n\r\n0002;a=\"b\"\r\nok\r\n0\r\n\r\n",
          "ok" },
        { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nA\r\n0123456789\r\n0\r\nX: "
          "1\r\n\r\n",
          "0123456789" },
        { "REPORT /?a=b&c=%0d%0a HTTP/1.1\r\nX!#$%&'*+-.^_`|~9: \xff\ta\r\n\r\n", "" },
        { "GET / HTTP/1.0\r\n\r\n", "" },
        { "GET / HTTP/1.1\r\nX:\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", "" },
        { "OPTIONS * HTTP/1.1\r\n\r\n", "" },
    };
    for (const Case &expected : cases) {
        for (const bool whole : { true, false }) {
            requests.reset();
            collector.body.clear();
            if (whole)
                BOOST_CHECK_EQUAL(requests.feed(expected.request), expected.request.size());
            else
                feedByteByByte(requests, expected.request);
            BOOST_CHECK_MESSAGE(requests.state() == HttpParser::State::Complete, expected.request);
            BOOST_CHECK_EQUAL(collector.body, expected.body);
        }
    }
}

BOOST_AUTO_TEST_CASE(rejectsResponsesThatCanBeReadInAnotherWay)
{
    for (const char *response :
         { "HTTP/1.1 0200 OK\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n",
           "HTTP/1.1 2OO OK\r\n\r\n", "HTTP/1.1 200 OK\n\n", "HTTP/1.1 200 O\rK\r\n\r\n",
           "HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX : 1\r\n\r\n",
           "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n\r\n",
           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
           "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" }) {
        responses.reset();
        responses.feed(response);
        BOOST_CHECK_MESSAGE(responses.state() == HttpParser::State::Failed, response);
    }
}

// Guards against heads and lines of chunks that are collected without end.
BOOST_AUTO_TEST_CASE(headsAndChunkLinesAreBounded)
{
    const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &start : { std::string("GET /"), std::string("GET / HTTP/1.1\r\nX: "),
                                      chunked + "1;", chunked + "0\r\nX: " }) {
        requests.reset();
        requests.feed(start);
        std::size_t fed = 0;
        while (requests.state() != HttpParser::State::Failed && fed < 1'000'000)
            fed += requests.feed("aaaaaaaaaaaaaaaa");
        BOOST_CHECK_MESSAGE(fed < 90'000, start);
    }
}

BOOST_AUTO_TEST_CASE(responseWithoutLengthEndsAtConnectionClose)
{
    responses.feed("HTTP/1.1 200 OK\r\nX: y\r\n\r\npart");
    BOOST_CHECK(responses.state() == HttpParser::State::Body);
    BOOST_CHECK(responses.response().framing == BodyFraming::UntilClose);
    BOOST_CHECK(!responses.response().keepAlive);
    BOOST_CHECK(responses.feedEndOfStream());
    BOOST_CHECK_EQUAL(collector.body, "part");
}

BOOST_AUTO_TEST_CASE(truncatedResponsesFail)
{
    responses.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    BOOST_CHECK(!responses.feedEndOfStream());
    BOOST_CHECK(responses.state() == HttpParser::State::Failed);
    responses.reset();
    responses.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
    BOOST_CHECK(!responses.feedEndOfStream());
}

BOOST_AUTO_TEST_CASE(malformedResponsesFail)
{
    responses.feed("\x01\x02garbage\r\n\r\n");
    BOOST_CHECK(responses.state() == HttpParser::State::Failed);
}

BOOST_AUTO_TEST_CASE(aResponseToHeadHasNoBody)
{
    responses.reset(true);
    responses.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    BOOST_CHECK(responses.state() == HttpParser::State::Complete);
}

BOOST_AUTO_TEST_CASE(hopByHopFieldsAreNotForwarded)
{
    HeaderList headers;
    headers.add("Host", "h");
    headers.add("connection", "keep-alive, X-Private");
    headers.add("X-Private", "1");
    headers.add("Content-Length", "3");
    headers.add("X-Public", "2");
    std::string out;
    appendEndToEndHeaders(headers, out);
    BOOST_CHECK_EQUAL(out, "Host: h\r\nX-Public: 2\r\n");
}

// Guards against fields that only a first Connection field, or one without tabs, could take away.
BOOST_AUTO_TEST_CASE(allConnectionFieldsAreConsidered)
{
    HeaderList headers;
    headers.add("Connection", "close");
    headers.add("Connection", "a,\tX-Private ,b");
    headers.add("X-Private", "1");
    headers.add("Id", "1");
    std::string out;
    appendEndToEndHeaders(headers, out);
    BOOST_CHECK_EQUAL(out, "Id: 1\r\n");
    BOOST_CHECK(findAmbiguousField(headers, { "Id" }) == nullptr);
    BOOST_CHECK_EQUAL(*findAmbiguousField(headers, { "Id", "x-private" }), "x-private");
    headers.add("ID", "2");
    BOOST_CHECK_EQUAL(*findAmbiguousField(headers, { "Id" }), "Id");
}

// Guards against ids of events, upstreams and customers that begin another field or request.
BOOST_AUTO_TEST_CASE(fieldsEndWhereTheyAreWritten)
{
    std::string out;
    appendField("Id", std::string("5\rX: y\r\n\r\nGET /\0", 16), out);
    BOOST_CHECK_EQUAL(out, "Id: 5 X: y    GET / \r\n");
}

BOOST_AUTO_TEST_SUITE_END()
