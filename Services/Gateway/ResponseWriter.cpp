#include "Services/Gateway/ResponseWriter.h"

namespace Lavenderpick {

void ResponseWriter::begin(const ResponseHead &response, bool isStream, bool closesConnection)
{
    if (m_begun)
        return;
    m_framing = response.framing;
    if (isStream || m_framing == BodyFraming::UntilClose)
        m_framing = m_request.acceptsChunked ? BodyFraming::Chunked : BodyFraming::UntilClose;
    writeHead(response, response.contentLength, closesConnection);
}

void ResponseWriter::writeComplete(const ResponseHead &response, std::string_view body,
                                   bool closesConnection)
{
    m_framing = BodyFraming::Length;
    writeHead(response, body.size(), closesConnection);
    if (m_request.method != "HEAD" && !body.empty())
        m_caller.writeResponse(body);
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
    if (bytes.empty())
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
    if (m_framing == BodyFraming::Chunked)
        m_caller.writeResponse(lastChunk);
}

} // namespace Lavenderpick
