#include "GatewayFixture.h"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

using Peer = std::shared_ptr<ScriptedConnection>;

enum class Ending {
    Whole,
    InHead, ///< An orderly close within the head.
    InBody, ///< An orderly close within the body.
    Reset,  ///< A TCP reset within the body.
};

enum class Position {
    First,
    FirstInPlannedStop,
    Repeated, ///< After an attempt that broke, or proved that it did not run if that is needed.
    Resumed,  ///< After another upstream broke off in the middle of the response.
};

struct Kind
{
    const char *path;
    const char *service;
    bool isStream;
    bool isIdempotent;
};

constexpr std::array<Kind, 4> kinds { {
        { "/safe/", "calls", false, true },
        { "/once/", "calls", false, false },
        { "/stream/", "engines", true, true },
        { "/fixed-stream/", "engines", true, false },
} };

struct Case
{
    int status;
    BodyFraming framing;
    bool saysNotRun;
    Ending ending;
    Position position;
    Kind kind;

    std::string describe() const
    {
        return "status " + std::to_string(status) + ", framing "
                + std::to_string(static_cast<int>(framing)) + ", says not run "
                + std::to_string(static_cast<int>(saysNotRun)) + ", ending "
                + std::to_string(static_cast<int>(ending)) + ", position "
                + std::to_string(static_cast<int>(position)) + ", " + kind.path;
    }
};

const std::string firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string lastEvent = "id: 3\ndata: c\n\n";
const std::string plainBody = "the whole body";
// A blank line ends it like an event.
const std::string failureBody = "the upstream failed\n\n";

/// What a caller received on a connection of its own, read without the gateway's parser.
struct RawResponse
{
    int status { 0 }; ///< Zero if there was no response.
    std::string head;
    std::string body;
    bool complete { false };

    static RawResponse parse(const std::string &bytes, bool wasReset)
    {
        RawResponse response;
        const std::size_t end = bytes.find("\r\n\r\n");
        if (!bytes.starts_with("HTTP/1.1 ") || end == std::string::npos)
            return response;
        response.status = std::stoi(bytes.substr(9, 3));
        response.head = bytes.substr(0, end + 2);
        const std::string rest = bytes.substr(end + 4);
        const std::string lengthField = "\r\nContent-Length: ";
        if (const auto at = response.head.find(lengthField); at != std::string::npos) {
            response.body = rest;
            response.complete =
                    rest.size() == std::stoul(response.head.substr(at + lengthField.size()));
        } else if (response.head.find("\r\nTransfer-Encoding: chunked") != std::string::npos) {
            response.parseChunks(rest);
        } else {
            response.body = rest;
            response.complete = !wasReset;
        }
        return response;
    }

    void parseChunks(std::string rest)
    {
        for (;;) {
            const std::size_t line = rest.find("\r\n");
            if (line == std::string::npos)
                return;
            const std::size_t size = std::stoul(rest.substr(0, line), nullptr, 16);
            if (size == 0) {
                complete = rest == lastChunk;
                return;
            }
            if (rest.size() < line + 2 + size + 2)
                return;
            body += rest.substr(line + 2, size);
            rest.erase(0, line + 2 + size + 2);
        }
    }
};

/// Plays one case on a gateway of its own and checks what the caller may conclude from the
/// response.
class Play : private GatewayFixture
{
public:
    explicit Play(const Case &testCase)
        : m_case(testCase)
    { }

    void check()
    {
        if (m_case.position == Position::FirstInPlannedStop) {
            state.stop.setGracePeriod(Seconds(8));
            state.stop.begin(clock.now());
        }
        const bool isFirst = m_case.position == Position::First
                || m_case.position == Position::FirstInPlannedStop;
        for (const char *id : { "u1", "u2" }) {
            if (isFirst && id == std::string("u2"))
                break;
            addUpstream(
                    id,
                    [this, isFirst](const ReceivedRequest &request, const Peer &peer) {
                        if (isFirst || ++m_requests == 2)
                            answer(request, peer);
                        else
                            answerBefore(request, peer);
                    },
                    m_case.kind.service);
        }
        const RawResponse response = request();
        BOOST_TEST_CONTEXT(m_case.describe() << ", got " << response.status)
        {
            checkStatus(response);
            checkBody(response);
            if (!m_case.kind.isIdempotent)
                BOOST_CHECK_LE(m_possibleRuns, 1);
        }
    }

private:
    static void close(const Peer &peer) { peer->closeAfterOutput(); }

    std::string runBody(const ReceivedRequest &request) const
    {
        if (!m_case.kind.isStream)
            return plainBody;
        return request.header("Last-Event-Id") == "2" ? lastEvent : firstEvents + lastEvent;
    }

    static std::string head(const ReceivedRequest &request, int status, const std::string &fields)
    {
        // std::to_string would shorten 000.
        const std::string digits = std::to_string(1'000 + status).substr(1);
        return "HTTP/1.1 " + digits + " X\r\nRequest-Id: " + request.header("Request-Id") + "\r\n"
                + fields + "\r\n";
    }

    /// The upstream that gets the request before the one of the case.
    void answerBefore(const ReceivedRequest &request, const Peer &peer)
    {
        if (m_case.position == Position::Resumed) {
            ++m_possibleRuns;
            std::string bytes = head(request, 200, "Proof: p\r\nTransfer-Encoding: chunked\r\n");
            appendChunk(firstEvents, bytes);
            peer->write(bytes);
            close(peer);
        } else if (m_case.kind.isIdempotent) {
            ++m_possibleRuns;
            close(peer);
        } else {
            peer->write(head(request, 503, "Not-Run: 1\r\nContent-Length: 0\r\n"));
        }
    }

    void answer(const ReceivedRequest &request, const Peer &peer)
    {
        const bool isSuccess = m_case.status >= 200 && m_case.status < 300;
        const bool provesNotRun = (m_case.saysNotRun && !isSuccess) || m_case.status == 421;
        m_possibleRuns += provesNotRun && m_case.ending != Ending::InHead ? 0 : 1;
        m_answered = true;
        const std::string body = isSuccess ? runBody(request) : failureBody;
        std::string fields =
                m_case.saysNotRun ? "Not-Run: 1\r\nProof: p\r\n" : std::string("Proof: p\r\n");
        std::string framed = body;
        if (m_case.framing == BodyFraming::Length) {
            fields += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        } else if (m_case.framing == BodyFraming::Chunked) {
            fields += "Transfer-Encoding: chunked\r\n";
            framed.clear();
            appendChunk(body, framed);
            framed += lastChunk;
        }
        const std::string start = head(request, m_case.status, fields);
        const bool hasBody = m_case.status != 204 && m_case.status != 304;
        switch (m_case.ending) {
        case Ending::Whole:
            peer->write(hasBody ? start + framed : start);
            if (m_case.framing == BodyFraming::UntilClose)
                close(peer);
            return;
        case Ending::InHead:
            peer->write(start.substr(0, start.size() - 2));
            close(peer);
            return;
        case Ending::InBody:
            peer->write(start + framed.substr(0, framed.size() - 3));
            close(peer);
            return;
        case Ending::Reset:
            peer->write(start + framed.substr(0, framed.size() - 3));
            peer->reset();
            return;
        }
    }

    RawResponse request()
    {
        const auto socket = connect();
        asio::write(*socket,
                    asio::buffer("POST " + std::string(m_case.kind.path)
                                 + " HTTP/1.1\r\nHost: h\r\nKey: k\r\nRequest-Id: r1\r\n"
                                   "Connection: close\r\nContent-Length: 1\r\n"
                                 + (m_case.kind.isStream ? "Tokens: 100\r\n" : "") + "\r\nx"));
        std::string received;
        asio::error_code error;
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        do {
            context.restart();
            // Not `runUntil`, which waits 2 ms at a time: there are thousands of cases.
            context.run_one_for(std::chrono::milliseconds(2));
            std::array<char, 4'096> buffer {};
            received.append(buffer.data(), socket->read_some(asio::buffer(buffer), error));
        } while ((!error || error == asio::error::would_block)
                 && std::chrono::steady_clock::now() < limit);
        BOOST_CHECK_MESSAGE(error && error != asio::error::would_block,
                            m_case.describe() << ": the request did not end");
        return RawResponse::parse(received, error != asio::error::eof);
    }

    void checkStatus(const RawResponse &response) const
    {
        // A connection that ends without a response promises nothing.
        if (response.status == 0)
            return;
        BOOST_CHECK_GE(response.status, 200);
        BOOST_CHECK_LE(response.status, 599);
        const std::array promises { 408, 421, 429, 503 };
        if (std::find(promises.begin(), promises.end(), response.status) != promises.end())
            BOOST_CHECK_EQUAL(m_possibleRuns, 0);
        const bool hasProof = response.head.find("\r\nProof: p\r\n") != std::string::npos;
        const bool isSuccess = response.status < 300;
        BOOST_CHECK(hasProof || !isSuccess);
        // A resumed stream keeps the head of its first upstream.
        if (hasProof && m_case.position != Position::Resumed)
            BOOST_CHECK_EQUAL(response.status, m_case.status);
    }

    void checkBody(const RawResponse &response) const
    {
        if (response.status == 0 || response.status >= 300)
            return;
        const std::string whole = m_case.kind.isStream ? firstEvents + lastEvent : plainBody;
        BOOST_CHECK_MESSAGE(whole.starts_with(response.body),
                            "foreign bytes in a response: " << response.body);
        if (!response.complete)
            return;
        if (m_case.position != Position::Resumed && endsWithHead()) {
            BOOST_CHECK(response.body.empty());
            return;
        }
        BOOST_CHECK_MESSAGE(m_case.ending == Ending::Whole && m_answered,
                            "a truncated response looks complete");
        BOOST_CHECK_EQUAL(response.body, whole);
    }

    /// Whether a response with this status has no body, whatever its fields announce.
    bool endsWithHead() const { return m_case.status == 204 || m_case.status == 205; }

    Case m_case;
    int m_requests { 0 };
    int m_possibleRuns { 0 }; ///< Upstreams that got the request and did not prove the contrary.
    bool m_answered { false };
};

bool isPossible(const Case &testCase)
{
    // An orderly close is the end of a body without a length.
    if (testCase.framing == BodyFraming::UntilClose && testCase.ending == Ending::InBody)
        return false;
    return testCase.position != Position::Resumed || testCase.kind.isStream;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseTableTests)

// Guards against callers who are told that a request has not run although it may have, who take an
// upstream's error or part of a body for the whole response, and against runs that repeat.
BOOST_AUTO_TEST_CASE(callersAreToldOnlyWhatUpstreamsShowed)
{
    constexpr std::array statuses { 0,   99,  101, 200, 204, 205, 226, 304, 400,
                                    408, 421, 429, 500, 502, 503, 504, 600, 999 };
    constexpr std::array framings { BodyFraming::Length, BodyFraming::Chunked,
                                    BodyFraming::UntilClose };
    constexpr std::array endings { Ending::Whole, Ending::InHead, Ending::InBody, Ending::Reset };
    constexpr std::array positions { Position::First, Position::FirstInPlannedStop,
                                     Position::Repeated, Position::Resumed };
    for (const Kind &kind : kinds) {
        for (const Position position : positions) {
            for (const int status : statuses) {
                for (const BodyFraming framing : framings) {
                    for (const bool saysNotRun : { false, true }) {
                        for (const Ending ending : endings) {
                            const Case testCase { .status = status,
                                                  .framing = framing,
                                                  .saysNotRun = saysNotRun,
                                                  .ending = ending,
                                                  .position = position,
                                                  .kind = kind };
                            if (isPossible(testCase))
                                Play(testCase).check();
                        }
                    }
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
