#pragma once

#include "Services/Gateway/CallerStream.h"
#include "lavenderpick/Forward/HttpMessage.h"

#include <string>
#include <string_view>

namespace Lavenderpick {

/// Writes one response to its caller, with a framing that the caller's HTTP version supports.
class ResponseWriter
{
public:
    ResponseWriter(CallerStream &caller, const RequestHead &request)
        : m_caller(caller)
        , m_request(request)
    { }

    /// Writes the head unless the response has begun. `isStream`: the length is not known before
    /// the end. `closesConnection`: the connection ends with this response.
    void begin(const ResponseHead &response, bool isStream, bool closesConnection);

    /// Writes an upstream's response whose body is complete.
    void writeComplete(const ResponseHead &response, std::string_view body, bool closesConnection);

    /// Writes a response made by the gateway itself, head and body.
    void writeGatewayResponse(std::string_view response);

    void writeBody(std::string_view bytes);

    /// Writes the last chunk if the body is chunked.
    void writeEnd();

    bool hasBegun() const { return m_begun; }
    BodyFraming framing() const { return m_framing; }

private:
    void writeHead(const ResponseHead &response, std::size_t length, bool closesConnection);

    CallerStream &m_caller;
    const RequestHead &m_request;
    BodyFraming m_framing { BodyFraming::None };
    bool m_hasBody { true };
    bool m_begun { false };
};

} // namespace Lavenderpick
