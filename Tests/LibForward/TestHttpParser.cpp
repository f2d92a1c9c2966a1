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
