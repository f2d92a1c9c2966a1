#pragma once

#include "Services/Gateway/ByteStream.h"
#include "Services/Gateway/CallerStream.h"
#include "Services/Gateway/Exchange.h"
#include "lavenderpick/Forward/HttpParser.h"

#include <memory>
#include <string>

namespace Lavenderpick {

/// A caller's connection. Reads requests one at a time and starts an `Exchange` for each.
class InboundConnection : public std::enable_shared_from_this<InboundConnection>,
                          private ByteStreamHandler,
                          private MessageListener,
                          public CallerStream
{
public:
    InboundConnection(GatewayState &state, asio::ip::tcp::socket socket);
    ~InboundConnection() override;

    void start();
    void checkTimeouts(TimePoint now);

    /// Closes the connection unless it is busy.
    void closeIfIdle();

    /// Whether the connection serves no more requests and all its output was written.
    bool isFinished() const { return !m_open && !m_stream->hasPendingOutput(); }

    /// Whether a request is in progress or may have arrived, or a response is not written yet.
    bool isBusy() const;

    void writeResponse(std::string_view bytes) override;
    std::size_t pendingResponseBytes() const override { return m_stream->pendingOutput(); }
    void tolerateSlowReader() override;
    void finishResponse(bool keepAlive) override;
    void abortResponse(BodyFraming framing) override;

private:
    void bytesArrived(std::string_view bytes) override;
    void streamEnded(bool orderly) override;
    void outputDrained() override;

    void headParsed() override;
    void bodyParsed(std::string_view bytes) override;
    void messageParsed() override;

    void parse(std::string_view bytes);
    void checkHead();
    void reject(int status, RefusalReason reason, const std::string &message);
    void rejectMalformedRequest();
    void startNextRequest();
    void discardBody();
    void close();
    CallerLimits limits() const;

    GatewayState &m_state;
    std::shared_ptr<ByteStream> m_stream;
    HttpParser m_parser;
    std::shared_ptr<Exchange> m_exchange;
    std::string m_body;
    std::string m_pipelinedInput; ///< Bytes received after the current request.
    TimePoint m_requestStartedAt {};
    TimePoint m_idleSince {};
    bool m_hasServed { false }; ///< A request was read on this connection.
    bool m_rejected { false };
    bool m_requestComplete { false };
    bool m_parsing { false };
    bool m_toleratesSlowReader { false };
    bool m_open { true };
};

} // namespace Lavenderpick
