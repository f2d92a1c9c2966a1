#include "lavenderpick/Forward/HttpParser.h"

#include <http_parser.h>

namespace Lavenderpick {

namespace {

/// Whether a response may have this status: those of RFC 9110, but 101, since no request asks for
/// another protocol.
bool isUsableStatus(int status)
{
    constexpr int lowestStatus = 100;
    constexpr int switchingProtocolsStatus = 101;
    constexpr int highestStatus = 599;
    return status >= lowestStatus && status <= highestStatus && status != switchingProtocolsStatus;
}

} // namespace

struct HttpParser::Implementation
{
    http_parser parser {};
};

struct HttpParser::Callbacks
{
    // Results of the callback that ends a head.
    static constexpr int endsWithHead = 1;
    static constexpr int invalidHead = -1;

    static HttpParser &self(http_parser *parser)
    {
        return *static_cast<HttpParser *>(parser->data);
    }

    static int target(http_parser *parser, const char *bytes, std::size_t size)
    {
        self(parser).m_request.target.append(bytes, size);
        return 0;
    }

    static int reason(http_parser *parser, const char *bytes, std::size_t size)
    {
        self(parser).m_response.reason.append(bytes, size);
        return 0;
    }

    static int fieldName(http_parser *parser, const char *bytes, std::size_t size)
    {
        HttpParser &owner = self(parser);
        if (owner.m_readingValue)
            owner.finishField();
        owner.m_fieldName.append(bytes, size);
        return 0;
    }

    static int fieldValue(http_parser *parser, const char *bytes, std::size_t size)
    {
        self(parser).m_readingValue = true;
        self(parser).m_fieldValue.append(bytes, size);
        return 0;
    }

    static int headersComplete(http_parser *parser)
    {
        HttpParser &owner = self(parser);
        if (owner.m_state == State::Body)
            return 0; // Trailers of a chunked body.
        if (!owner.finishHead())
            return invalidHead;
        return owner.hasNoBody() ? endsWithHead : 0;
    }

    static int body(http_parser *parser, const char *bytes, std::size_t size)
    {
        self(parser).m_listener.bodyParsed({ bytes, size });
        return 0;
    }

    static int messageComplete(http_parser *parser)
    {
        HttpParser &owner = self(parser);
        owner.m_state = State::Complete;
        http_parser_pause(parser, 1);
        owner.m_listener.messageParsed();
        return 0;
    }

    static const http_parser_settings &settings()
    {
        static const http_parser_settings table = [] {
            http_parser_settings settings;
            http_parser_settings_init(&settings);
            settings.on_url = target;
            settings.on_status = reason;
            settings.on_header_field = fieldName;
            settings.on_header_value = fieldValue;
            settings.on_headers_complete = headersComplete;
            settings.on_body = body;
            settings.on_message_complete = messageComplete;
            return settings;
        }();
        return table;
    }
};

HttpParser::HttpParser(MessageType type, MessageListener &listener)
    : m_implementation(std::make_unique<Implementation>())
    , m_listener(listener)
    , m_type(type)
{
    reset();
}

HttpParser::~HttpParser() = default;

void HttpParser::reset(bool toHeadRequest)
{
    http_parser &parser = m_implementation->parser;
    http_parser_init(&parser, m_type == MessageType::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser.data = this;
    m_state = State::Head;
    m_headBytes = 0;
    m_toHeadRequest = toHeadRequest;
    m_readingValue = false;
    m_fieldName.clear();
    m_fieldValue.clear();
    m_request = {};
    m_response = {};
}

void HttpParser::finishField()
{
    // Trailers are dropped, since they were not announced to the recipient.
    if (m_state == State::Head && !m_fieldName.empty()) {
        HeaderList &headers =
                m_type == MessageType::Request ? m_request.headers : m_response.headers;
        headers.add(std::move(m_fieldName), std::move(m_fieldValue));
    }
    m_fieldName.clear();
    m_fieldValue.clear();
    m_readingValue = false;
}

bool HttpParser::finishHead()
{
    finishField();
    http_parser &parser = m_implementation->parser;
    if (m_type == MessageType::Response && !isUsableStatus(static_cast<int>(parser.status_code)))
        return false;
    const bool chunked = (parser.flags & F_CHUNKED) != 0;
    const bool hasLength = (parser.flags & F_CONTENTLENGTH) != 0;
    BodyFraming framing = BodyFraming::None;
    if (chunked)
        framing = BodyFraming::Chunked;
    else if (hasLength)
        framing = BodyFraming::Length;
    if (m_type == MessageType::Request) {
        m_request.method = http_method_str(static_cast<http_method>(parser.method));
        m_request.framing = framing;
        m_request.contentLength = hasLength ? parser.content_length : 0;
        m_request.keepAlive = http_should_keep_alive(&parser) != 0;
        m_request.acceptsChunked =
                parser.http_major > 1 || (parser.http_major == 1 && parser.http_minor >= 1);
    } else {
        m_response.status = static_cast<int>(parser.status_code);
        if (framing == BodyFraming::None && !hasNoBody())
            framing = BodyFraming::UntilClose;
        m_response.framing = framing;
        m_response.contentLength = hasLength ? parser.content_length : 0;
        m_response.keepAlive =
                framing != BodyFraming::UntilClose && http_should_keep_alive(&parser) != 0;
    }
    m_headBytes = computeHeadBytes();
    m_state = State::Body;
    m_listener.headParsed();
    return true;
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
    const HeaderList &headers =
            m_type == MessageType::Request ? m_request.headers : m_response.headers;
    constexpr std::size_t separators = 4; // Colon, space, CR and LF.
    std::size_t bytes = m_request.target.size();
    for (const HeaderField &field : headers.fields())
        bytes += field.name.size() + field.value.size() + separators;
    return bytes;
}

std::size_t HttpParser::feed(std::string_view bytes)
{
    if (m_state == State::Complete || m_state == State::Failed || bytes.empty())
        return 0;
    http_parser &parser = m_implementation->parser;
    const std::size_t taken =
            http_parser_execute(&parser, &Callbacks::settings(), bytes.data(), bytes.size());
    if (m_state == State::Head)
        m_headBytes += taken;
    if (m_state == State::Complete)
        return taken;
    if (HTTP_PARSER_ERRNO(&parser) != HPE_OK || parser.upgrade != 0) {
        m_state = State::Failed;
        return bytes.size();
    }
    return taken;
}

bool HttpParser::feedEndOfStream()
{
    if (m_state == State::Body)
        http_parser_execute(&m_implementation->parser, &Callbacks::settings(), nullptr, 0);
    if (m_state == State::Complete)
        return true;
    if (isIdle())
        return true;
    m_state = State::Failed;
    return false;
}

std::string HttpParser::failure() const
{
    return http_errno_description(HTTP_PARSER_ERRNO(&m_implementation->parser));
}

} // namespace Lavenderpick
