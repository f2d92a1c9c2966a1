#include "lavenderpick/Forward/HttpParser.h"

#include "lavenderpick/Forward/HttpGrammar.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <limits>
#include <optional>

namespace Lavenderpick {

namespace {

namespace beast = boost::beast;

// A head, the line of a chunk and the trailers are kept until they are complete.
constexpr std::size_t maximumUnparsedBytes = 81'920;
constexpr int versionWithChunks = 11; // HTTP/1.1

/// Whether a response may have this status: those of RFC 9110, but 101, since no request asks for
/// another protocol.
bool isUsableStatus(int status)
{
    constexpr int lowestStatus = 100;
    constexpr int switchingProtocolsStatus = 101;
    constexpr int highestStatus = 599;
    return status >= lowestStatus && status <= highestStatus && status != switchingProtocolsStatus;
}

std::string_view view(beast::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace

class HttpParser::Implementation
{
public:
    virtual ~Implementation() = default;

    virtual void reset(bool toHeadRequest) = 0;
    virtual std::size_t put(std::string_view bytes, beast::error_code &error) = 0;
    virtual void putEndOfStream(beast::error_code &error) = 0;
    virtual bool isChunked() const = 0;
    virtual std::optional<std::uint64_t> contentLength() const = 0;
    virtual bool keepAlive() const = 0;
    virtual int version() const = 0;
};

template <bool isRequest>
class HttpParser::Parser final : public Implementation
{
public:
    explicit Parser(HttpParser &owner)
        : m_owner(owner)
    { }

    void reset(bool toHeadRequest) override
    {
        m_message.emplace(m_owner);
        m_message->header_limit(maximumUnparsedBytes);
        // The listeners limit bodies.
        m_message->body_limit(std::numeric_limits<std::uint64_t>::max());
        m_message->eager(true);
        m_message->skip(toHeadRequest);
    }

    std::size_t put(std::string_view bytes, beast::error_code &error) override
    {
        return m_message->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    }

    void putEndOfStream(beast::error_code &error) override { m_message->put_eof(error); }
    bool isChunked() const override { return m_message->chunked(); }
    std::optional<std::uint64_t> contentLength() const override
    {
        const auto length = m_message->content_length();
        return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
    }
    bool keepAlive() const override { return m_message->keep_alive(); }
    int version() const override { return m_message->version; }

private:
    /// Passes what the library finds on to the owner.
    struct Message final : beast::http::basic_parser<isRequest>
    {
        explicit Message(HttpParser &parser)
            : owner(parser)
        { }

        void on_request_impl(beast::http::verb, beast::string_view method,
                             beast::string_view target, int number, beast::error_code &) override
        {
            version = number;
            owner.m_request.method = view(method);
            owner.m_request.target = view(target);
        }

        void on_response_impl(int status, beast::string_view reason, int number,
                              beast::error_code &) override
        {
            version = number;
            owner.m_response.status = status;
            owner.m_response.reason = view(reason);
        }

        void on_field_impl(beast::http::field, beast::string_view name, beast::string_view value,
                           beast::error_code &) override
        {
            owner.addField(view(name), view(value));
        }

        void on_header_impl(beast::error_code &error) override
        {
            owner.finishHead();
            if (owner.m_state == State::Failed)
                error = beast::http::error::bad_field;
        }

        void on_body_init_impl(const boost::optional<std::uint64_t> &, beast::error_code &) override
        { }

        std::size_t on_body_impl(beast::string_view bytes, beast::error_code &) override
        {
            owner.m_listener.bodyParsed(view(bytes));
            return bytes.size();
        }

        void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code &) override
        { }

        std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes,
                                       beast::error_code &) override
        {
            owner.m_listener.bodyParsed(view(bytes));
            return bytes.size();
        }

        void on_finish_impl(beast::error_code &) override
        {
            owner.m_state = State::Complete;
            owner.m_listener.messageParsed();
        }

        HttpParser &owner;
        int version { 0 };
    };

    HttpParser &m_owner;
    std::optional<Message> m_message;
};

HttpParser::HttpParser(MessageType type, MessageListener &listener)
    : m_listener(listener)
    , m_type(type)
{
    if (type == MessageType::Request)
        m_implementation = std::make_unique<Parser<true>>(*this);
    else
        m_implementation = std::make_unique<Parser<false>>(*this);
    reset();
}

HttpParser::~HttpParser() = default;

void HttpParser::reset(bool toHeadRequest)
{
    m_implementation->reset(toHeadRequest);
    m_state = State::Head;
    m_headBytes = 0;
    m_toHeadRequest = toHeadRequest;
    m_hasStarted = false;
    m_atLineStart = false;
    m_hasLastLine = false;
    m_lastByte = '\0';
    m_unparsed.clear();
    m_failure.clear();
    m_request = {};
    m_response = {};
}

void HttpParser::addField(std::string_view name, std::string_view value)
{
    // Trailers are dropped, since they were not announced to the recipient.
    if (m_state != State::Head)
        return;
    HeaderList &headers = m_type == MessageType::Request ? m_request.headers : m_response.headers;
    headers.add(std::string(name), std::string(value));
}

std::string_view HttpParser::checkHead() const
{
    // The library takes repeated lengths that are equal, and ignores other transfer codings.
    const std::string *length = headers().find("Content-Length");
    const std::string *coding = headers().find("Transfer-Encoding");
    if (headers().count("Content-Length") + headers().count("Transfer-Encoding") > 1)
        return "the length of the body is given twice";
    if (length != nullptr && length->find_first_not_of("0123456789") != std::string::npos)
        return "the length of the body is not a number";
    if (coding != nullptr
        && (!equalHeaderNames(*coding, "chunked")
            || m_implementation->version() < versionWithChunks))
        return "the transfer coding is not supported";
    if (m_type == MessageType::Response)
        return isUsableStatus(m_response.status) ? "" : "the status is not supported";
    const bool isWholeServer = m_request.target == "*" && m_request.method == "OPTIONS";
    return isOriginForm(m_request.target) || isWholeServer ? "" : "the target is not a path";
}

void HttpParser::finishHead()
{
    if (const std::string_view problem = checkHead(); !problem.empty()) {
        fail(problem);
        return;
    }
    const std::optional<std::uint64_t> length = m_implementation->contentLength();
    BodyFraming framing = BodyFraming::None;
    if (m_implementation->isChunked())
        framing = BodyFraming::Chunked;
    else if (length)
        framing = BodyFraming::Length;
    if (m_type == MessageType::Request) {
        m_request.framing = framing;
        m_request.contentLength = length.value_or(0);
        m_request.keepAlive = m_implementation->keepAlive();
        m_request.acceptsChunked = m_implementation->version() >= versionWithChunks;
    } else {
        if (framing == BodyFraming::None && !hasNoBody())
            framing = BodyFraming::UntilClose;
        m_response.framing = framing;
        m_response.contentLength = length.value_or(0);
        m_response.keepAlive = framing != BodyFraming::UntilClose && m_implementation->keepAlive();
    }
    m_headBytes = computeHeadBytes();
    m_state = State::Body;
    m_listener.headParsed();
}

bool HttpParser::hasNoBody() const
{
    if (m_type == MessageType::Request)
        return false;
    return m_toHeadRequest || m_response.status < 200 || m_response.status == 204
            || m_response.status == 304;
}

std::size_t HttpParser::computeHeadBytes() const
{
    constexpr std::size_t separators = 4; // Colon, space, CR and LF.
    std::size_t bytes = m_request.target.size();
    for (const HeaderField &field : headers().fields())
        bytes += field.name.size() + field.value.size() + separators;
    return bytes;
}

bool HttpParser::checkLines(std::string_view bytes)
{
    while (!bytes.empty() && !m_hasLastLine) {
        if (m_atLineStart) {
            if (bytes.front() == ' ' || bytes.front() == '\t')
                return false;
            m_hasLastLine = bytes.front() == '\r';
        }
        const std::size_t end = bytes.find('\n');
        m_atLineStart = end != std::string_view::npos;
        if (m_atLineStart && (end == 0 ? m_lastByte : bytes[end - 1]) != '\r')
            return false;
        m_lastByte = m_atLineStart ? '\n' : bytes.back();
        bytes.remove_prefix(m_atLineStart ? end + 1 : bytes.size());
    }
    return true;
}

std::size_t HttpParser::feed(std::string_view bytes)
{
    if (m_state == State::Complete || m_state == State::Failed || bytes.empty())
        return 0;
    const bool wasHead = m_state == State::Head;
    std::string_view input = bytes;
    if (!m_unparsed.empty())
        input = m_unparsed.append(bytes);
    if (wasHead && !checkLines(bytes)) {
        fail("a line is folded or does not end with CRLF");
        return bytes.size();
    }
    const std::size_t rest = parse(input);
    if (m_state == State::Failed)
        return bytes.size();
    if (m_state == State::Complete)
        return bytes.size() - rest;
    if (wasHead && m_state == State::Head)
        m_headBytes += bytes.size();
    if (m_unparsed.empty())
        m_unparsed = input.substr(input.size() - rest);
    else
        m_unparsed.erase(0, m_unparsed.size() - rest);
    if (m_unparsed.size() > maximumUnparsedBytes)
        fail("the head or a line of a chunk is too long");
    return bytes.size();
}

std::size_t HttpParser::parse(std::string_view input)
{
    if (!m_hasStarted && m_type == MessageType::Request) {
        // A sender may put an empty line before a request (RFC 9112, 2.2).
        if (input == "\r")
            return input.size();
        if (input.starts_with("\r\n"))
            input.remove_prefix(2);
    }
    m_hasStarted = m_hasStarted || !input.empty();
    while (!input.empty() && m_state != State::Complete) {
        beast::error_code error;
        const std::size_t taken = m_implementation->put(input, error);
        input.remove_prefix(taken);
        if (error == beast::http::error::need_more)
            break;
        if (error) {
            fail(error.message());
            break;
        }
        if (taken == 0)
            break;
    }
    return input.size();
}

bool HttpParser::feedEndOfStream()
{
    if (m_state == State::Complete || isIdle())
        return true;
    if (m_state == State::Body && m_unparsed.empty()) {
        beast::error_code error;
        m_implementation->putEndOfStream(error);
        if (m_state == State::Complete)
            return true;
    }
    fail("the message is truncated");
    return false;
}

void HttpParser::fail(std::string_view reason)
{
    // A head that is refused ends the library's parser with an error of its own.
    if (m_state != State::Failed)
        m_failure = reason;
    m_state = State::Failed;
}

} // namespace Lavenderpick
