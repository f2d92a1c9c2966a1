#include "lavenderpick/Protocol/AttemptMessages.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

namespace {

constexpr std::size_t maximumIdentifierBytes = 256;
constexpr std::size_t maximumHandles = 64;

std::vector<std::string> parseHandles(const nlohmann::json &json)
{
    std::vector<std::string> handles;
    if (!json.contains("handles"))
        return handles;
    const nlohmann::json &array = requireArray(json, "handles");
    if (array.size() > maximumHandles)
        throw Error(ErrorKind::InvalidMessage, "Field 'handles' has too many members",
                    "Split the prompt over fewer engines.");
    for (const nlohmann::json &handle : array) {
        if (!handle.is_string())
            throw Error(ErrorKind::InvalidMessage, "Field 'handles' must hold strings",
                        "Correct the message and send it again.");
        handles.push_back(handle.get<std::string>());
    }
    return handles;
}

std::string requireIdentifier(const nlohmann::json &json, const char *field)
{
    return requireString(json, field, maximumIdentifierBytes);
}

AttemptEventType parseEventType(const std::string &name)
{
    if (name == "token")
        return AttemptEventType::Token;
    if (name == "end")
        return AttemptEventType::End;
    if (name == "failed")
        return AttemptEventType::Failed;
    throw Error(ErrorKind::InvalidMessage, "'" + name + "' is not a type of attempt event",
                "Run the same release on both ends.");
}

} // namespace

nlohmann::json AttemptRequest::toJson() const
{
    return {
        { "request_id", requestId },
        { "attempt_id", attemptId },
        { "customer", customer },
        { "model", model },
        { "priority", priority },
        { "prompt", prompt },
        { "max_tokens", maximumTokens },
        { "deadline_ms", deadlineMilliseconds },
        { "resume_text", resumeText },
        { "resume_offset", resumeOffset },
        { "reservation_id", reservationId },
        { "handles", handles },
    };
}

AttemptRequest AttemptRequest::parse(const nlohmann::json &json)
{
    return AttemptRequest {
        .requestId = requireIdentifier(json, "request_id"),
        .attemptId = requireIdentifier(json, "attempt_id"),
        .customer = requireIdentifier(json, "customer"),
        .model = requireIdentifier(json, "model"),
        .priority = requireIdentifier(json, "priority"),
        .prompt = requireString(json, "prompt"),
        .maximumTokens = requireInteger(json, "max_tokens", 1),
        .deadlineMilliseconds = requireInteger(json, "deadline_ms", 0),
        .resumeText = optionalString(json, "resume_text", ""),
        .resumeOffset = optionalInteger(json, "resume_offset", 0),
        .reservationId = optionalString(json, "reservation_id", "", maximumIdentifierBytes),
        .handles = parseHandles(json),
    };
}

nlohmann::json Usage::toJson() const
{
    return {
        { "prompt_tokens", promptTokens },
        { "completion_tokens", completionTokens },
        { "cached_tokens", cachedTokens },
        { "total_tokens", promptTokens + completionTokens },
    };
}

Usage Usage::parse(const nlohmann::json &json)
{
    return Usage {
        .promptTokens = requireInteger(json, "prompt_tokens"),
        .completionTokens = requireInteger(json, "completion_tokens"),
        .cachedTokens = optionalInteger(json, "cached_tokens", 0),
    };
}

nlohmann::json AttemptEvent::toJson() const
{
    switch (type) {
    case AttemptEventType::Token:
        return {
            { "type", "token" }, { "attempt_id", attemptId }, { "offset", offset }, { "text", text }
        };
    case AttemptEventType::End:
        return {
            { "type", "end" },    { "attempt_id", attemptId },       { "count", count },
            { "digest", digest }, { "finish_reason", finishReason }, { "usage", usage.toJson() },
        };
    case AttemptEventType::Failed:
        return {
            { "type", "failed" }, { "attempt_id", attemptId }, { "reason", reason }, { "ran", ran }
        };
    }
    return nullptr;
}

AttemptEvent AttemptEvent::parse(const nlohmann::json &json)
{
    AttemptEvent event {
        .type = parseEventType(requireString(json, "type")),
        .attemptId = requireIdentifier(json, "attempt_id"),
    };
    switch (event.type) {
    case AttemptEventType::Token:
        event.offset = requireInteger(json, "offset");
        event.text = requireString(json, "text");
        break;
    case AttemptEventType::End:
        event.count = requireInteger(json, "count");
        event.digest = requireString(json, "digest");
        event.finishReason = requireString(json, "finish_reason");
        event.usage = Usage::parse(requireObject(json, "usage"));
        break;
    case AttemptEventType::Failed:
        event.reason = requireString(json, "reason");
        event.ran = requireString(json, "ran");
        break;
    }
    return event;
}

nlohmann::json ReservationRequest::toJson() const
{
    return {
        { "reservation_id", reservationId },
        { "owner", owner },
        { "tokens", tokens },
        { "ttl_ms", ttlMilliseconds },
    };
}

ReservationRequest ReservationRequest::parse(const nlohmann::json &json)
{
    return ReservationRequest {
        .reservationId = requireIdentifier(json, "reservation_id"),
        .owner = requireIdentifier(json, "owner"),
        .tokens = requireInteger(json, "tokens", 1),
        .ttlMilliseconds = requireInteger(json, "ttl_ms", 1),
    };
}

nlohmann::json SegmentRequest::toJson() const
{
    return {
        { "request_id", requestId },
        { "reservation_id", reservationId },
        { "index", index },
        { "model", model },
        { "prompt", prompt },
        { "handles", handles },
        { "deadline_ms", deadlineMilliseconds },
    };
}

SegmentRequest SegmentRequest::parse(const nlohmann::json &json)
{
    return SegmentRequest {
        .requestId = requireIdentifier(json, "request_id"),
        .reservationId = requireIdentifier(json, "reservation_id"),
        .index = requireInteger(json, "index"),
        .model = requireIdentifier(json, "model"),
        .prompt = requireString(json, "prompt"),
        .handles = parseHandles(json),
        .deadlineMilliseconds = requireInteger(json, "deadline_ms"),
    };
}

} // namespace Lavenderpick
