#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Reasons.h"
#include "lavenderpick/Forward/RequestDialect.h"

#include <optional>
#include <string>

namespace Lavenderpick {

/// A response that the gateway itself gives to a request that it refuses or that failed.
struct ProblemResponse
{
    int status { 503 };
    RefusalReason reason { RefusalReason::BadRequest };
    std::string message {};
    Ran ran { Ran::No };
    std::string requestId {};
    std::optional<Duration> retryAfter {}; ///< Set if the caller may succeed by retrying later.
    bool closesConnection { false };
    bool toHeadRequest { false };

    bool operator==(const ProblemResponse &) const = default;

    /// The complete HTTP response, head and body.
    std::string toHttp(const HeaderNames &names) const;
};

} // namespace Lavenderpick
