#include "lavenderpick/Base/Problem.h"

#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

int Problem::status() const
{
    switch (reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::KeyRequired:
        return 400;
    case RefusalReason::Unauthenticated:
        return 401;
    case RefusalReason::Forbidden:
        return 403;
    case RefusalReason::UnknownModel:
    case RefusalReason::UnknownService:
    case RefusalReason::NotFound:
        return 404;
    case RefusalReason::Cancelled:
        return 409;
    case RefusalReason::BodyTooLarge:
        return 413;
    case RefusalReason::KeyReused:
        return 422;
    case RefusalReason::CustomerBudget:
    case RefusalReason::TooManyStreams:
        return 429;
    case RefusalReason::UpstreamFailed:
        return 502;
    case RefusalReason::DeadlineExceeded:
        return 504;
    case RefusalReason::QueueFull:
    case RefusalReason::DeadlineTooShort:
    case RefusalReason::Draining:
    case RefusalReason::NoUpstream:
    case RefusalReason::UpstreamMemory:
    case RefusalReason::StoreUnavailable:
    case RefusalReason::NotReady:
    case RefusalReason::StaleDocument:
    case RefusalReason::QuarantinedPrompt:
    case RefusalReason::UpstreamRateLimit:
    case RefusalReason::UpstreamPause:
        return 503;
    }
    return 500;
}

nlohmann::json Problem::toJson() const
{
    nlohmann::json json {
        { "type", "urn:lavenderpick:problem:" + std::string(toString(reason)) },
        { "title", std::string(toString(reason)) },
        { "status", status() },
        { "detail", detail },
        { "reason", std::string(toString(reason)) },
        { "ran", std::string(toString(ran)) },
        { "request_id", requestId },
    };
    if (retryAfterSeconds)
        json["retry_after"] = *retryAfterSeconds;
    return json;
}

Problem Problem::parse(const nlohmann::json &json)
{
    Problem problem {
        .reason = parseRefusalReason(requireString(json, "reason")),
        .detail = requireString(json, "detail"),
        .ran = parseRan(requireString(json, "ran")),
        .requestId = optionalString(json, "request_id", ""),
    };
    if (json.contains("retry_after"))
        problem.retryAfterSeconds =
                static_cast<int>(requireInteger(json, "retry_after", 0, 86'400));
    return problem;
}

} // namespace Lavenderpick
