#pragma once

#include "Services/Gateway/CallerStream.h"
#include "lavenderpick/Forward/HttpMessage.h"

#include <string>
#include <string_view>

namespace Lavenderpick {

/// Writes one response of an upstream to its caller, framed as the caller can read it.
class ResponseWriter
{
public:
    ResponseWriter(CallerStream &caller, const RequestHead &request)
        : m_caller(caller)
        , m_request(request)
    { }

    /// Writes the head, once. `isStream`: the length is not known before the end. `closes`: the
    /// connection ends with this response.
    void begin(const ResponseHead &response, bool isStream, bool closesConnection);

    /// Writes a response that is held whole.
    void writeComplete(const ResponseHead &response, std::string_view body, bool closesConnection);

    /// Writes a response of the gateway's own, head and body.
    void writeGatewayResponse(std::string_view response);

    void writeBody(std::string_view bytes);

    /// Writes what ends the body.
    void writeEnd();

    bool hasBegun() const { return m_begun; }
    BodyFraming framing() const { return m_framing; }

private:
    void writeHead(const ResponseHead &response, std::size_t length, bool closesConnection);

    CallerStream &m_caller;
    const RequestHead &m_request;
    BodyFraming m_framing { BodyFraming::None };
    bool m_begun { false };
};

} // namespace Lavenderpick
