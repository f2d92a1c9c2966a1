#include "lavenderpick/Protocol/CallMessages.h"

#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

namespace {

constexpr std::size_t maximumIdentifierBytes = 256;
constexpr std::size_t maximumPathBytes = 2048;

} // namespace

nlohmann::json CallRequest::toJson() const
{
    return {
        { "request_id", requestId },
        { "token", token },
        { "customer", customer },
        { "key", key },
        { "digest", digest },
        { "expected_version", expectedVersion },
        { "service", service },
        { "method", method },
        { "path", path },
        { "body", body },
        { "deadline_ms", deadlineMilliseconds },
        { "repeatable", repeatable },
    };
}

CallRequest CallRequest::parse(const nlohmann::json &json)
{
    return CallRequest {
        .requestId = requireString(json, "request_id", maximumIdentifierBytes),
        .token = requireString(json, "token", maximumIdentifierBytes),
        .customer = requireString(json, "customer", maximumIdentifierBytes),
        .key = optionalString(json, "key", "", maximumIdentifierBytes),
        .digest = requireString(json, "digest", maximumIdentifierBytes),
        .expectedVersion = requireInteger(json, "expected_version"),
        .service = requireString(json, "service", maximumIdentifierBytes),
        .method = requireString(json, "method", maximumIdentifierBytes),
        .path = requireString(json, "path", maximumPathBytes),
        .body = requireString(json, "body"),
        .deadlineMilliseconds = requireInteger(json, "deadline_ms"),
        .repeatable = requireBool(json, "repeatable"),
    };
}

nlohmann::json CallAnswer::toJson() const
{
    return {
        { "ran", std::string(toString(ran)) },
        { "status", status },
        { "body", body },
        { "content_type", contentType },
        { "state", state },
        { "record_version", recordVersion },
        { "digest", digest },
    };
}

CallAnswer CallAnswer::parse(const nlohmann::json &json)
{
    return CallAnswer {
        .ran = parseRan(requireString(json, "ran")),
        .status = static_cast<int>(requireInteger(json, "status", 0, 599)),
        .body = requireString(json, "body"),
        .contentType = optionalString(json, "content_type", ""),
        .state = optionalString(json, "state", ""),
        .recordVersion = optionalInteger(json, "record_version", 0),
        .digest = optionalString(json, "digest", ""),
    };
}

} // namespace Lavenderpick
