#include "lavenderpick/Base/Reasons.h"

#include "lavenderpick/Base/Error.h"

#include <array>
#include <string>

namespace Lavenderpick {

namespace {

constexpr std::array<std::string_view, refusalReasonCount> refusalNames {
    "bad_request",     "body_too_large",  "unauthenticated",    "forbidden",
    "unknown_model",   "unknown_service", "key_required",       "key_reused",
    "customer_budget", "queue_full",      "deadline_too_short", "deadline_exceeded",
    "draining",        "no_upstream",     "upstream_memory",    "store_unavailable",
    "not_ready",       "stale_document",  "too_many_streams",   "cancelled",
    "upstream_failed", "not_found",       "quarantined_prompt", "upstream_rate_limit",
    "upstream_pause",
};

constexpr std::array<std::string_view, retryReasonCount> retryNames {
    "connection_failed", "silent_connection",  "upstream_refused",     "upstream_failed",
    "upstream_draining", "stream_interrupted", "reservation_conflict", "store_conflict",
};

} // namespace

std::string_view toString(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        return "unknown";
    }
    return "unknown";
}

Ran parseRan(std::string_view text)
{
    for (const Ran ran : { Ran::No, Ran::Yes, Ran::Unknown }) {
        if (toString(ran) == text)
            return ran;
    }
    throw Error(ErrorKind::InvalidMessage, "'" + std::string(text) + "' is not a value of ran",
                "Use no, yes or unknown.");
}

std::string_view toString(RefusalReason reason)
{
    return refusalNames[static_cast<std::size_t>(reason)];
}

RefusalReason parseRefusalReason(std::string_view name)
{
    for (std::size_t index = 0; index < refusalNames.size(); ++index) {
        if (refusalNames[index] == name)
            return static_cast<RefusalReason>(index);
    }
    throw Error(ErrorKind::InvalidMessage, "'" + std::string(name) + "' is not a refusal reason",
                "Run the same release on both ends.");
}

std::string_view toString(RetryReason reason)
{
    return retryNames[static_cast<std::size_t>(reason)];
}

} // namespace Lavenderpick
