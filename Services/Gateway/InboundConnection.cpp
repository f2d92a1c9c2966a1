#include "Services/Gateway/InboundConnection.h"

#include "Services/Gateway/ProblemResponse.h"
#include "lavenderpick/Base/Log.h"

#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

// Reading pauses when more bytes than this have arrived while a request is in progress. Further
// bytes stay in the kernel's receive buffer.
constexpr std::size_t maximumPipelinedBytes = 65'536;
// A caller that has just connected sends its request within a few round trips.
constexpr Duration firstRequestGrace { Milliseconds(500) };

} // namespace

InboundConnection::InboundConnection(GatewayState &state, asio::ip::tcp::socket socket)
    : m_state(state)
    , m_stream(std::make_shared<ByteStream>(std::move(socket), "callers"))
    , m_parser(HttpParser::MessageType::Request, *this)
    , m_idleSince(state.clock.now())
{ }

InboundConnection::~InboundConnection()
{
    close();
}

void InboundConnection::start()
{
    m_stream->setHandler(this);
    m_stream->configureSocket();
    m_stream->startReading();
}

CallerLimits InboundConnection::limits() const
{
    return m_state.configuration ? m_state.configuration->limits() : CallerLimits {};
}

void InboundConnection::bytesArrived(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (m_exchange) {
        m_pipelinedInput.append(bytes);
        if (m_pipelinedInput.size() > maximumPipelinedBytes)
            m_stream->pauseReading();
        return;
    }
    parse(bytes);
}

void InboundConnection::parse(std::string_view bytes)
{
    m_parsing = true;
    while (!bytes.empty() && m_open && !m_rejected) {
        if (m_exchange) {
            m_pipelinedInput.append(bytes);
            break;
        }
        if (m_parser.isIdle())
            m_requestStartedAt = m_state.clock.now();
        if (m_toleratesSlowReader && !m_stream->hasPendingOutput()
            && !m_stream->isBlockedByPeer()) {
            m_toleratesSlowReader = false;
            m_stream->setSlowReader(false);
        }
        bytes.remove_prefix(m_parser.feed(bytes));
        if (m_parser.state() == HttpParser::State::Failed)
            rejectMalformedRequest();
        else if (m_parser.state() == HttpParser::State::Head
                 && m_parser.headBytes() > limits().headBytes)
            reject(431, RefusalReason::BadRequest, "The head of the request is too large.");
        else if (m_requestComplete && !m_rejected) {
            m_requestComplete = false;
            m_hasServed = true;
            m_state.bufferedBytes -= m_body.size(); // The exchange counts the body from here on.
            m_exchange = std::make_shared<Exchange>(m_state, *this, std::move(m_parser.request()),
                                                    std::move(m_body));
            m_body.clear();
            const auto exchange = m_exchange;
            exchange->start();
        }
    }
    m_parsing = false;
}

void InboundConnection::rejectMalformedRequest()
{
    if (!m_rejected)
        reject(400, RefusalReason::BadRequest,
               "The request is malformed: " + m_parser.failure() + ".");
}

void InboundConnection::headParsed()
{
    checkHead();
    if (m_rejected)
        return;
    const std::string *expect = m_parser.request().headers.find("Expect");
    if (expect != nullptr && equalHeaderNames(*expect, "100-continue"))
        m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void InboundConnection::checkHead()
{
    const RequestHead &head = m_parser.request();
    const CallerLimits callerLimits = limits();
    if (head.headers.count("Host") != 1)
        reject(400, RefusalReason::BadRequest, "The request must have one Host field.");
    else if (const std::string *field =
                     findAmbiguousField(head.headers, m_state.dialect.names().singular))
        reject(400, RefusalReason::BadRequest,
               "The field " + *field + " occurs twice or is named in Connection.");
    else if (m_parser.headBytes() > callerLimits.headBytes)
        reject(431, RefusalReason::BadRequest, "The head of the request is too large.");
    else if (head.contentLength > callerLimits.bodyBytes)
        reject(413, RefusalReason::BodyTooLarge, "The body of the request is too large.");
    else if (m_state.bufferedBytes + head.contentLength > m_state.maximumBufferedBytes())
        reject(503, RefusalReason::QueueFull, "Too many request bodies are held at once.");
}

void InboundConnection::bodyParsed(std::string_view bytes)
{
    if (m_rejected)
        return;
    m_body.append(bytes);
    m_state.bufferedBytes += bytes.size();
    if (m_body.size() > limits().bodyBytes)
        reject(413, RefusalReason::BodyTooLarge, "The body of the request is too large.");
    else if (m_state.bufferedBytes > m_state.maximumBufferedBytes())
        reject(503, RefusalReason::QueueFull, "Too many request bodies are held at once.");
}

void InboundConnection::discardBody()
{
    m_state.bufferedBytes -= m_body.size();
    m_body.clear();
}

void InboundConnection::messageParsed()
{
    m_requestComplete = true;
}

void InboundConnection::reject(int status, RefusalReason reason, const std::string &message)
{
    m_rejected = true;
    const HeaderNames &names = m_state.dialect.names();
    const std::string *id = m_parser.request().headers.find(names.requestId);
    const ProblemResponse answer { .status = status,
                                   .reason = reason,
                                   .message = message,
                                   .requestId = id == nullptr ? "" : *id,
                                   .closesConnection = true };
    m_state.metrics.countRefusal(reason);
    log(LogLevel::Info, "caller", "rejected",
        { { "request_id", answer.requestId },
          { "status", status },
          { "reason", toString(reason) },
          { "detail", message } });
    m_stream->write(answer.toHttp(names));
    m_stream->closeAfterOutput();
    m_open = false;
    discardBody();
}

void InboundConnection::writeResponse(std::string_view bytes)
{
    m_stream->write(bytes);
    if (!m_toleratesSlowReader && m_stream->isBlockedByPeer())
        tolerateSlowReader();
}

void InboundConnection::tolerateSlowReader()
{
    m_toleratesSlowReader = true;
    m_stream->setSlowReader(true);
}

void InboundConnection::finishResponse(bool keepAlive)
{
    if (!keepAlive) {
        m_exchange.reset();
        m_stream->closeAfterOutput();
        m_open = false;
        return;
    }
    // The exchange calls this function, so it must not be destroyed before it returns.
    asio::post(m_state.context, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->startNextRequest();
    });
}

void InboundConnection::startNextRequest()
{
    if (!m_open)
        return;
    const EventLoopTurns::Activity activity(EventLoopTurns::of(m_state.context), "callers");
    m_exchange.reset();
    m_parser.reset();
    m_idleSince = m_state.clock.now();
    const std::string input = std::move(m_pipelinedInput);
    m_pipelinedInput.clear();
    parse(input);
    if (m_open)
        m_stream->resumeReading();
}

void InboundConnection::abortResponse(BodyFraming framing)
{
    m_exchange.reset();
    m_open = false;
    // A reset may lose data that the caller has not read yet. It is used only where the framing
    // does not show that the response is truncated.
    if (framing == BodyFraming::UntilClose)
        m_stream->reset();
    else
        m_stream->close();
}

void InboundConnection::outputDrained()
{
    if (m_exchange)
        m_exchange->callerDrained();
}

void InboundConnection::streamEnded(bool)
{
    const auto self = shared_from_this();
    close();
}

void InboundConnection::close()
{
    discardBody();
    if (m_exchange)
        m_exchange->cancel();
    m_exchange.reset();
    if (m_open)
        m_stream->close();
    m_open = false;
}

bool InboundConnection::isBusy() const
{
    if (m_exchange || m_stream->hasPendingOutput())
        return true;
    if (!m_open)
        return false;
    if (!m_parser.isIdle() || m_stream->hasUnreadInput())
        return true;
    return !m_hasServed && m_state.clock.now() - m_idleSince < firstRequestGrace;
}

void InboundConnection::closeIfIdle()
{
    if (!m_open || isBusy())
        return;
    m_stream->closeAfterOutput();
    m_open = false;
}

void InboundConnection::checkTimeouts(TimePoint now)
{
    const auto self = shared_from_this();
    if (!m_open)
        return;
    if (m_exchange) {
        const auto exchange = m_exchange;
        exchange->checkTimeouts(now);
        return;
    }
    const CallerLimits callerLimits = limits();
    if (!m_parser.isIdle()) {
        if (now - m_requestStartedAt > callerLimits.headTimeout
            && m_parser.state() == HttpParser::State::Head)
            reject(408, RefusalReason::BadRequest, "The head of the request came too slowly.");
        return;
    }
    if (now - m_idleSince > callerLimits.idleTimeout)
        closeIfIdle();
}

} // namespace Lavenderpick
