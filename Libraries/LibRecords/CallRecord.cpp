#include "lavenderpick/Records/CallRecord.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

std::string_view toString(CallState state)
{
    switch (state) {
    case CallState::Started:
        return "started";
    case CallState::Done:
        return "done";
    case CallState::Cancelled:
        return "cancelled";
    }
    return "started";
}

CallState parseCallState(std::string_view text)
{
    for (const CallState state : { CallState::Started, CallState::Done, CallState::Cancelled }) {
        if (toString(state) == text)
            return state;
    }
    throw Error(ErrorKind::InvalidMessage,
                "'" + std::string(text) + "' is not a state of a call record",
                "Use started, done or cancelled.");
}

RowKey CallKey::row() const
{
    std::string escaped;
    for (const char character : customer) {
        if (character == '/')
            escaped += "%2F";
        else if (character == '%')
            escaped += "%25";
        else
            escaped += character;
    }
    return { .table = "call", .key = escaped + "/" + key };
}

nlohmann::json CallRecord::toJson() const
{
    return {
        { "state", std::string(toString(state)) },
        { "digest", digest },
        { "token", token },
        { "agent", agent },
        { "status", status },
        { "body", body },
        { "contentType", contentType },
        { "bodyObject", bodyObject },
        { "startedAt", startedAt },
        { "expiresAt", expiresAt },
    };
}

CallRecord CallRecord::parse(const nlohmann::json &json)
{
    return CallRecord {
        .state = parseCallState(requireString(json, "state")),
        .digest = requireString(json, "digest"),
        .token = requireString(json, "token"),
        .agent = optionalString(json, "agent", ""),
        .status = static_cast<int>(optionalInteger(json, "status", 0, 0, 599)),
        .body = optionalString(json, "body", ""),
        .contentType = optionalString(json, "contentType", ""),
        .bodyObject = optionalString(json, "bodyObject", ""),
        .startedAt = requireInteger(json, "startedAt"),
        .expiresAt = requireInteger(json, "expiresAt"),
    };
}

} // namespace Lavenderpick
