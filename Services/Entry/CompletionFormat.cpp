#include "Services/Entry/CompletionFormat.h"

#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Http/ServerSentEvents.h"

#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

// Text that is not valid UTF-8 must not end a stream with an exception.
std::string eventOf(const nlohmann::json &json)
{
    return formatServerSentEvent(toJsonText(json));
}

} // namespace

CompletionFormat::CompletionFormat(std::string requestId, std::string model,
                                   std::int64_t createdSeconds)
    : m_requestId(std::move(requestId))
    , m_model(std::move(model))
    , m_created(createdSeconds)
{ }

nlohmann::json CompletionFormat::body(const CompletionOutcome &outcome) const
{
    nlohmann::json json = message(outcome.text, outcome.finishReason);
    json["usage"] = outcome.usage.toJson();
    json["attempt_id"] = outcome.attemptId;
    return json;
}

std::string CompletionFormat::textEvent(const std::string &text) const
{
    return eventOf(message(text, nullptr));
}

std::string CompletionFormat::endEvents(const CompletionOutcome &outcome) const
{
    nlohmann::json json = message("", outcome.finishReason);
    json["usage"] = outcome.usage.toJson();
    json["attempt_id"] = outcome.attemptId;
    return eventOf(json) + formatServerSentEvent("[DONE]");
}

std::string CompletionFormat::problemEvent(const Problem &problem)
{
    return eventOf({ { "error", problem.toJson() } });
}

nlohmann::json CompletionFormat::message(const std::string &text,
                                         const nlohmann::json &finishReason) const
{
    return {
        { "id", m_requestId },
        { "object", "text_completion" },
        { "created", m_created },
        { "model", m_model },
        { "choices",
          nlohmann::json::array(
                  { { { "index", 0 }, { "text", text }, { "finish_reason", finishReason } } }) },
    };
}

} // namespace Lavenderpick
