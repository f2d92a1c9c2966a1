#include "Services/Gateway/HttpConnection.h"

#include "Services/Gateway/Endpoint.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

// Used when the peer sends no Keep-Alive timeout.
constexpr Duration defaultIdleTimeout { Milliseconds(2'000) };
// Keeps a request from being sent while the peer closes the idle connection. Covers one round trip
// and late timers.
constexpr Duration idleMargin { Milliseconds(400) };

} // namespace

std::string_view toString(ConnectionFailure failure)
{
    switch (failure) {
    case ConnectionFailure::NotConnected:
        return "not_connected";
    case ConnectionFailure::Closed:
        return "closed";
    case ConnectionFailure::BadResponse:
        return "bad_response";
    case ConnectionFailure::Silent:
        return "silent";
    case ConnectionFailure::Endless:
        return "endless";
    }
    return "unknown";
}

HttpConnection::HttpConnection(asio::io_context &context, const Clock &clock, std::string address)
    : m_clock(clock)
    , m_address(std::move(address))
    , m_stream(std::make_shared<ByteStream>(asio::ip::tcp::socket(context), "upstreams"))
    , m_parser(HttpParser::MessageType::Response, *this)
    , m_idleTimeout(defaultIdleTimeout)
{
    m_stream->setHandler(this);
}

HttpConnection::~HttpConnection()
{
    m_stream->close();
}

void HttpConnection::send(std::string head, std::shared_ptr<const std::string> body,
                          bool toHeadRequest, ResponseListener &listener)
{
    m_requestHead = std::move(head);
    m_requestBody = std::move(body);
    m_toHeadRequest = toHeadRequest;
    m_listener = &listener;
    m_startedAt = m_clock.now();
    m_lastByteAt = m_startedAt;
    m_discardingResponse = false;
    m_interimResponse = false;
    m_headDelivered = false;
    m_bytesBeforeBody = 0;
    m_bodyBytes = 0;
    ++m_requests;
    m_parser.reset(toHeadRequest);
    if (m_state == State::New)
        connect();
    else
        writeRequest();
}

void HttpConnection::connect()
{
    m_state = State::Connecting;
    asio::ip::tcp::endpoint endpoint;
    try {
        endpoint = parseEndpoint(m_address);
    } catch (const Error &error) {
        log(LogLevel::Warning, "http", error.what());
        asio::post(m_stream->socket().get_executor(),
                   [self = shared_from_this()] { self->fail(ConnectionFailure::NotConnected); });
        return;
    }
    m_stream->socket().async_connect(
            endpoint, [weak = weak_from_this(), stream = m_stream](const asio::error_code &error) {
                if (const auto self = weak.lock())
                    self->connectFinished(error);
            });
}

void HttpConnection::connectFinished(const asio::error_code &error)
{
    if (m_state != State::Connecting)
        return;
    if (error) {
        fail(ConnectionFailure::NotConnected);
        return;
    }
    m_state = State::Open;
    m_wasConnected = true;
    m_lastByteAt = m_clock.now();
    m_stream->configureSocket();
    m_stream->startReading();
    writeRequest();
}

void HttpConnection::writeRequest()
{
    // Writing the head and a short body together saves a system call and a packet.
    constexpr std::size_t maximumCoalescedBodyBytes = 16'384;
    if (m_requestBody && m_requestBody->size() <= maximumCoalescedBodyBytes)
        m_requestHead.append(*m_requestBody);
    m_stream->write(m_requestHead);
    if (m_requestBody && m_requestBody->size() > maximumCoalescedBodyBytes)
        m_stream->write(*m_requestBody);
    m_requestHead.clear();
    m_requestBody.reset();
}

void HttpConnection::bytesArrived(std::string_view bytes)
{
    const auto self = shared_from_this(); // A listener may release its reference.
    m_lastByteAt = m_clock.now();
    while (!bytes.empty() && m_state == State::Open) {
        if (m_listener == nullptr) {
            // Unsolicited bytes could be mistaken for the response to the next request.
            log(LogLevel::Info, "http", "unexpected bytes on an idle connection",
                { { "address", m_address }, { "bytes", bytes.size() } });
            closeStream();
            return;
        }
        const std::size_t taken = m_parser.feed(bytes);
        bytes.remove_prefix(taken);
        if (!m_headDelivered)
            m_bytesBeforeBody += taken;
        if (m_listener != nullptr && exceedsLimits()) {
            log(LogLevel::Warning, "http", "a response exceeds its limits",
                { { "address", m_address },
                  { "bytes_before_body", m_bytesBeforeBody },
                  { "body_bytes", m_bodyBytes } });
            fail(ConnectionFailure::Endless);
            return;
        }
        if (m_parser.state() == HttpParser::State::Failed) {
            fail(ConnectionFailure::BadResponse);
            return;
        }
        if (m_parser.state() == HttpParser::State::Complete)
            finishResponse();
    }
}

bool HttpConnection::exceedsLimits() const
{
    return m_bytesBeforeBody > m_limits.bytesBeforeBody
            || (m_limits.bodyBytes > 0 && m_bodyBytes > m_limits.bodyBytes);
}

void HttpConnection::headParsed()
{
    const ResponseHead &head = m_parser.response();
    m_interimResponse = head.status < 200;
    if (m_interimResponse || m_listener == nullptr)
        return;
    m_keepAlive = head.keepAlive;
    parseIdleTimeout();
    m_discardingResponse = !m_listener->isExpected(head);
    if (m_discardingResponse)
        return;
    m_headDelivered = true;
    m_listener->headArrived(head);
}

void HttpConnection::bodyParsed(std::string_view bytes)
{
    if (m_listener == nullptr || m_discardingResponse || m_interimResponse)
        return;
    m_bodyBytes += bytes.size();
    m_listener->bodyArrived(bytes);
}

void HttpConnection::messageParsed() { }

void HttpConnection::finishResponse()
{
    if (m_discardingResponse || m_interimResponse) {
        m_discardingResponse = false;
        m_interimResponse = false;
        m_parser.reset(m_toHeadRequest);
        return;
    }
    ResponseListener *listener = m_listener;
    m_listener = nullptr;
    m_idleSince = m_clock.now();
    // If the response ended before the whole request was sent, the unsent rest of the request would
    // precede the next one.
    if (!m_keepAlive || m_stream->pendingOutput() > 0)
        closeStream();
    else
        m_stream->resumeReading(); // Detects when the peer closes the idle connection.
    m_parser.reset();
    if (listener != nullptr)
        listener->responseEnded();
}

void HttpConnection::parseIdleTimeout()
{
    const std::string *value = m_parser.response().headers.find("Keep-Alive");
    constexpr std::string_view parameter = "timeout=";
    if (value == nullptr)
        return;
    const std::size_t start = value->find(parameter);
    int seconds = 0;
    if (start == std::string::npos)
        return;
    const char *begin = value->data() + start + parameter.size();
    if (std::from_chars(begin, value->data() + value->size(), seconds).ec == std::errc())
        m_idleTimeout = Seconds(seconds);
}

void HttpConnection::streamEnded(bool orderly)
{
    const auto self = shared_from_this();
    if (m_listener == nullptr) {
        closeStream();
        return;
    }
    const bool untilClose = m_parser.state() == HttpParser::State::Body
            && m_parser.response().framing == BodyFraming::UntilClose;
    if (orderly && untilClose && !m_discardingResponse && m_parser.feedEndOfStream()) {
        m_keepAlive = false;
        finishResponse();
        return;
    }
    fail(m_parser.state() == HttpParser::State::Head && m_parser.isIdle()
                 ? ConnectionFailure::Closed
                 : ConnectionFailure::BadResponse);
}

void HttpConnection::fail(ConnectionFailure failure)
{
    const auto self = shared_from_this();
    ResponseListener *listener = m_listener;
    m_listener = nullptr;
    closeStream();
    if (listener != nullptr)
        listener->requestFailed(failure);
}

void HttpConnection::closeStream()
{
    m_state = State::Closed;
    m_stream->close();
}

void HttpConnection::abandon()
{
    m_listener = nullptr;
    closeStream();
}

void HttpConnection::checkTimeouts(TimePoint now, Duration connectTimeout, Duration silenceTimeout)
{
    if (m_listener == nullptr)
        return;
    if (m_state == State::Connecting && now - m_startedAt >= connectTimeout)
        fail(ConnectionFailure::NotConnected);
    else if (m_limits.totalTime > Duration {} && now - m_startedAt >= m_limits.totalTime)
        fail(ConnectionFailure::Endless);
    else if (silenceTimeout > Duration {} && now - m_lastByteAt >= silenceTimeout)
        fail(ConnectionFailure::Silent);
}

void HttpConnection::pauseReading()
{
    m_stream->pauseReading();
}

void HttpConnection::resumeReading()
{
    if (m_state == State::Open)
        m_stream->resumeReading();
}

bool HttpConnection::isReusable(TimePoint now) const
{
    return m_state == State::Open && m_listener == nullptr
            && now - m_idleSince + idleMargin < m_idleTimeout;
}

} // namespace Lavenderpick
