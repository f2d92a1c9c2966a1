#pragma once

#include "lavenderpick/Forward/HttpMessage.h"

#include <memory>
#include <string>
#include <string_view>

namespace Lavenderpick {

/// Receives the parts of one message. A handler must not destroy the parser.
class MessageListener
{
public:
    virtual ~MessageListener() = default;

    virtual void headParsed() = 0;
    virtual void bodyParsed(std::string_view bytes) = 0;
    virtual void messageParsed() = 0;
};

/// Parses a byte stream into HTTP/1.0 and HTTP/1.1 messages, either requests or responses.
///
/// Accepts what RFC 9112 allows to send and nothing that a recipient could read in another way:
/// every line ends with CRLF and none is folded, a field name is a token, a value holds no control
/// character but a tab, at most one field frames the body, and the only transfer coding is
/// `chunked`. The target of a request is a path of visible ASCII characters; a response has three
/// digits of status, from 100 to 599 but not 101, since no request asks for another protocol.
/// Parsing stops at the end of each message, so that the bytes after it are never parsed as part of
/// it. Trailers are parsed and dropped. A head, the line of a chunk and the trailers may take 80
/// KiB each.
class HttpParser
{
public:
    enum class MessageType {
        Request,
        Response,
    };
    enum class State {
        Head,
        Body,
        Complete,
        Failed,
    };

    HttpParser(MessageType type, MessageListener &listener);
    ~HttpParser();

    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /// Parses up to the end of the message and returns the number of bytes consumed.
    std::size_t feed(std::string_view bytes);

    /// Reports that the peer closed its side without an error. Completes a body that ends with the
    /// connection; returns false if the message is truncated.
    bool feedEndOfStream();

    /// Prepares for the next message. `toHeadRequest`: it is a response to HEAD and has no body.
    void reset(bool toHeadRequest = false);

    State state() const { return m_state; }
    bool isIdle() const { return m_state == State::Head && m_headBytes == 0; }

    /// Size of the current message's head so far, in bytes.
    std::size_t headBytes() const { return m_headBytes; }

    /// Describes the error, if the state is Failed.
    const std::string &failure() const { return m_failure; }

    /// Valid once the head has been parsed.
    RequestHead &request() { return m_request; }
    ResponseHead &response() { return m_response; }

private:
    /// The library's parser of one message.
    class Implementation;
    template <bool isRequest>
    class Parser;

    /// Parses and returns the number of bytes at the end that need more bytes, or that follow the
    /// message.
    std::size_t parse(std::string_view input);
    /// Whether all lines of the head end with CRLF and none is folded, as far as they have arrived.
    bool checkLines(std::string_view bytes);
    void addField(std::string_view name, std::string_view value);
    /// Returns the reason if the head can't be used, otherwise an empty text.
    std::string_view checkHead() const;
    void finishHead();
    void fail(std::string_view reason);
    /// Whether the response ends with its head, whatever its fields announce.
    bool hasNoBody() const;
    const HeaderList &headers() const
    {
        return m_type == MessageType::Request ? m_request.headers : m_response.headers;
    }
    std::size_t computeHeadBytes() const;

    std::unique_ptr<Implementation> m_implementation;
    MessageListener &m_listener;
    MessageType m_type;
    State m_state { State::Head };
    std::size_t m_headBytes { 0 };
    bool m_toHeadRequest { false };
    bool m_hasStarted { false };  ///< The first line of the message has begun.
    bool m_atLineStart { false }; ///< Of the head, before a line but the first.
    bool m_hasLastLine { false }; ///< The empty line that ends the head has begun.
    char m_lastByte { '\0' };
    std::string m_unparsed; ///< The beginning of a part that arrives in pieces.
    std::string m_failure;
    RequestHead m_request;
    ResponseHead m_response;
};

} // namespace Lavenderpick
