#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Reasons.h"
#include "lavenderpick/Forward/RequestDialect.h"

#include <optional>
#include <string>

namespace Lavenderpick {

/// An answer of the gateway's own to a request that it does not forward.
struct ProblemResponse
{
    int status { 503 };
    RefusalReason reason { RefusalReason::BadRequest };
    std::string message {};
    Ran ran { Ran::No };
    std::string requestId {};
    std::optional<Duration> retryAfter {}; ///< Set where waiting helps.
    bool closesConnection { false };
    bool toHeadRequest { false };

    bool operator==(const ProblemResponse &) const = default;

    /// The whole HTTP response.
    std::string toHttp(const HeaderNames &names) const;
};

} // namespace Lavenderpick
