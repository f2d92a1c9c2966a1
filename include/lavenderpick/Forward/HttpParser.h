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

/// Parses a byte stream into HTTP/1.1 messages, either requests or responses.
///
/// Rejects messages with both a length and chunks, with two lengths, or with an invalid chunk, and
/// responses with a status outside 100 to 599 or of 101.
/// Parsing stops at the end of each message, so that the bytes after it are never parsed as part of
/// it.
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
    std::string failure() const;

    /// Valid once the head has been parsed.
    RequestHead &request() { return m_request; }
    ResponseHead &response() { return m_response; }

private:
    struct Callbacks;
    friend struct Callbacks;
    struct Implementation;

    bool finishHead();
    void finishField();
    /// Whether the response ends with its head, whatever its fields announce.
    bool hasNoBody() const;
    std::size_t computeHeadBytes() const;

    std::unique_ptr<Implementation> m_implementation;
    MessageListener &m_listener;
    MessageType m_type;
    State m_state { State::Head };
    std::size_t m_headBytes { 0 };
    bool m_toHeadRequest { false };
    bool m_readingValue { false };
    std::string m_fieldName;
    std::string m_fieldValue;
    RequestHead m_request;
    ResponseHead m_response;
};

} // namespace Lavenderpick
