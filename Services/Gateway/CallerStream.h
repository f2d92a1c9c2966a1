#pragma once

#include "lavenderpick/Forward/HttpMessage.h"

#include <string>
#include <string_view>

namespace Lavenderpick {

/// Output towards the caller of one request.
class CallerStream
{
public:
    virtual ~CallerStream() = default;

    /// Sends bytes of the response.
    virtual void writeResponse(std::string_view bytes) = 0;

    /// Bytes of the response that the caller has not read yet.
    virtual std::size_t pendingResponseBytes() const = 0;

    /// The response is so large that the caller may pause while reading it.
    virtual void tolerateSlowReader() = 0;

    /// Ends a complete response. The connection is closed unless `keepAlive` is set.
    virtual void finishResponse(bool keepAlive) = 0;

    /// Closes the connection in a way that the caller can't mistake for the end of a complete
    /// response with this framing.
    virtual void abortResponse(BodyFraming framing) = 0;
};

} // namespace Lavenderpick
