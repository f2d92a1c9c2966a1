#include "Services/Gateway/ResponseWriter.h"

namespace Lavenderpick {

namespace {

constexpr int resetContentStatus = 205;

/// Whether responses with this status end with their heads, whatever their fields announce.
bool isBodiless(int status)
{
    constexpr int noContentStatus = 204;
    constexpr int notModifiedStatus = 304;
    constexpr int firstFinalStatus = 200;
    return status < firstFinalStatus || status == noContentStatus || status == resetContentStatus
            || status == notModifiedStatus;
}

} // namespace

void ResponseWriter::begin(const ResponseHead &response, bool isStream, bool closesConnection)
{
    if (m_begun)
        return;
    m_framing = response.framing;
    if ((isStream || m_framing == BodyFraming::UntilClose) && !isBodiless(response.status))
        m_framing = m_request.acceptsChunked ? BodyFraming::Chunked : BodyFraming::UntilClose;
    writeHead(response, response.contentLength, closesConnection);
}

void ResponseWriter::writeComplete(const ResponseHead &response, std::string_view body,
                                   bool closesConnection)
{
    m_framing = BodyFraming::Length;
    const bool toHead = m_request.method == "HEAD";
    writeHead(response, toHead ? response.contentLength : body.size(), closesConnection);
    writeBody(body);
}

void ResponseWriter::writeGatewayResponse(std::string_view response)
{
    m_begun = true;
    m_caller.writeResponse(response);
}

void ResponseWriter::writeHead(const ResponseHead &response, std::size_t length,
                               bool closesConnection)
{
    m_begun = true;
    m_hasBody = m_request.method != "HEAD" && !isBodiless(response.status);
    if (response.status == resetContentStatus) {
        m_framing = BodyFraming::Length;
        length = 0;
    } else if (isBodiless(response.status)) {
        m_framing = BodyFraming::None;
    }
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " "
            + (response.reason.empty() ? std::string(reasonPhrase(response.status))
                                       : response.reason)
            + "\r\n";
    appendEndToEndHeaders(response.headers, head);
    appendFraming(m_framing, length, head);
    if (closesConnection || m_framing == BodyFraming::UntilClose)
        appendField("Connection", "close", head);
    head += "\r\n";
    m_caller.writeResponse(head);
}

void ResponseWriter::writeBody(std::string_view bytes)
{
    if (bytes.empty() || !m_hasBody)
        return;
    if (m_framing == BodyFraming::Chunked) {
        std::string chunk;
        chunk.reserve(bytes.size() + 16);
        appendChunk(bytes, chunk);
        m_caller.writeResponse(chunk);
    } else {
        m_caller.writeResponse(bytes);
    }
}

void ResponseWriter::writeEnd()
{
    if (m_framing == BodyFraming::Chunked && m_hasBody)
        m_caller.writeResponse(lastChunk);
}

} // namespace Lavenderpick
