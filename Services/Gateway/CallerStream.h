#pragma once

#include "lavenderpick/Forward/HttpMessage.h"

#include <string>
#include <string_view>

namespace Lavenderpick {

/// The caller's end of one request, as the request sees it.
class CallerStream
{
public:
    virtual ~CallerStream() = default;

    /// Sends bytes of the response.
    virtual void writeResponse(std::string_view bytes) = 0;

    /// Bytes that the caller has not taken yet.
    virtual std::size_t pendingResponseBytes() const = 0;

    /// The response is whole. `keepAlive` is false where the connection must end with it.
    virtual void finishResponse(bool keepAlive) = 0;

    /// Ends the connection so that the response, framed so, can't look whole.
    virtual void abortResponse(BodyFraming framing) = 0;
};

} // namespace Lavenderpick
