#pragma once

#include "Services/Gateway/ByteStream.h"
#include "lavenderpick/Forward/HttpParser.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Lavenderpick {

/// Why a request did not get a complete response.
enum class ConnectionFailure {
    NotConnected, ///< The connection was not established, so nothing was sent.
    Closed,       ///< The peer closed or reset the connection before a response began.
    BadResponse,  ///< The response is malformed or truncated.
    Silent,       ///< No byte arrived within the silence timeout.
    Endless,      ///< The response exceeds its limits in bytes or time.
};

/// Bounds of a response. A server in trouble may send bytes that are no answer without end.
struct ResponseLimits
{
    /// Bytes that may precede the end of the response's head, in interim responses and in responses
    /// to other requests too.
    std::size_t bytesBeforeBody { 262'144 };
    std::size_t bodyBytes { 0 }; ///< Zero for no limit.
    Duration totalTime {};       ///< From the start of the request; zero for no limit.

    bool operator==(const ResponseLimits &) const = default;
};

std::string_view toString(ConnectionFailure failure);

/// Receives the response to one request.
class ResponseListener
{
public:
    virtual ~ResponseListener() = default;

    /// Whether the response belongs to the request. If not, it is discarded and the next response
    /// on the connection is awaited.
    virtual bool isExpected(const ResponseHead &head)
    {
        static_cast<void>(head);
        return true;
    }
    virtual void headArrived(const ResponseHead &head) = 0;
    virtual void bodyArrived(std::string_view bytes) = 0;
    virtual void responseEnded() = 0;
    virtual void requestFailed(ConnectionFailure failure) = 0;
};

/// The client side of an HTTP/1.1 connection. Handles one request at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>,
                       private ByteStreamHandler,
                       private MessageListener
{
public:
    HttpConnection(asio::io_context &context, const Clock &clock, std::string address);
    ~HttpConnection() override;

    /// Applies to the following requests.
    void setLimits(const ResponseLimits &limits) { m_limits = limits; }

    /// Sends a request, connecting first if necessary. `body` may be null. The listener must live
    /// until `responseEnded`, `requestFailed` or `abandon`.
    void send(std::string head, std::shared_ptr<const std::string> body, bool toHeadRequest,
              ResponseListener &listener);

    /// Closes the connection without notifying the listener.
    void abandon();

    /// Fails the current request and closes the connection if connecting takes `connectTimeout` or
    /// longer, or if no byte has arrived for `silenceTimeout` (zero for no limit).
    void checkTimeouts(TimePoint now, Duration connectTimeout, Duration silenceTimeout);

    void pauseReading();
    void resumeReading();

    /// Whether another request may be sent on this connection.
    bool isReusable(TimePoint now) const;
    bool isBusy() const { return m_listener != nullptr; }
    bool isOpen() const { return m_state != State::Closed; }
    bool wasConnected() const { return m_wasConnected; }
    /// Whether an earlier request was sent on this connection, so that a late copy of its response
    /// may arrive.
    bool isReused() const { return m_requests > 1; }
    const std::string &address() const { return m_address; }

private:
    enum class State {
        New,
        Connecting,
        Open,
        Closed,
    };

    void connect();
    void connectFinished(const asio::error_code &error);
    void writeRequest();
    void finishResponse();
    bool exceedsLimits() const;
    void fail(ConnectionFailure failure);
    void closeStream();
    void parseIdleTimeout();

    void bytesArrived(std::string_view bytes) override;
    void streamEnded(bool orderly) override;
    void headParsed() override;
    void bodyParsed(std::string_view bytes) override;
    void messageParsed() override;

    const Clock &m_clock;
    std::string m_address;
    std::shared_ptr<ByteStream> m_stream;
    HttpParser m_parser;
    ResponseListener *m_listener { nullptr };
    State m_state { State::New };
    std::string m_requestHead;
    std::shared_ptr<const std::string> m_requestBody;
    TimePoint m_startedAt {};
    TimePoint m_lastByteAt {};
    TimePoint m_idleSince {};
    Duration m_idleTimeout;
    ResponseLimits m_limits;
    std::size_t m_bytesBeforeBody { 0 };
    std::size_t m_bodyBytes { 0 };
    std::uint64_t m_requests { 0 };
    bool m_headDelivered { false };
    bool m_wasConnected { false };
    bool m_toHeadRequest { false };
    bool m_discardingResponse { false }; ///< The current response belongs to another request.
    bool m_interimResponse { false };
    bool m_keepAlive { true };
};

} // namespace Lavenderpick
