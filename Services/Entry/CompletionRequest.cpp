#include "Services/Entry/CompletionRequest.h"

#include "Services/Entry/CallerGuard.h"
#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

namespace {

constexpr std::int64_t mostGeneratedTokens = 1'000'000;
constexpr std::size_t maximumNameBytes = 256;

std::optional<PriorityEntry> findPriority(const std::string &name, const Document &document)
{
    if (!name.empty())
        return document.priority(name);
    std::optional<PriorityEntry> first;
    for (const auto &[entryName, entry] : document.section(SectionName::priorities).entries) {
        const auto priority = document.priority(entryName);
        if (priority && (!first || priority->rank < first->rank))
            first = priority;
    }
    return first;
}

void checkModel(const CompletionRequest &request, std::int64_t promptTokens,
                const Document &document)
{
    const auto model = document.model(request.model);
    if (!model)
        throw ProblemError({ .reason = RefusalReason::UnknownModel,
                             .detail = "There is no model '" + request.model
                                     + "'. Ask the operators for the names in use." });
    if (model->maximumPromptTokens > 0 && promptTokens > model->maximumPromptTokens)
        throw ProblemError({ .reason = RefusalReason::BodyTooLarge,
                             .detail = "The prompt has about " + std::to_string(promptTokens)
                                     + " tokens; the model takes "
                                     + std::to_string(model->maximumPromptTokens)
                                     + ". Shorten it." });
}

} // namespace

nlohmann::json CompletionRequest::toJson() const
{
    nlohmann::json json {
        { "model", model },   { "prompt", prompt },     { "max_tokens", maximumTokens },
        { "stream", stream }, { "priority", priority },
    };
    if (deadlineMilliseconds)
        json["deadline_ms"] = *deadlineMilliseconds;
    return json;
}

CompletionRequest CompletionRequest::parse(const nlohmann::json &json)
{
    CompletionRequest request {
        .model = requireString(json, "model", maximumNameBytes),
        .prompt = requireString(json, "prompt"),
        .maximumTokens = optionalInteger(json, "max_tokens", CompletionRequest {}.maximumTokens, 1,
                                         mostGeneratedTokens),
        .stream = optionalBool(json, "stream", false),
        .priority = optionalString(json, "priority", "", maximumNameBytes),
    };
    if (json.contains("deadline_ms"))
        request.deadlineMilliseconds = requireInteger(json, "deadline_ms", 1);
    return request;
}

CompletionOrder makeOrder(const CompletionRequest &request, std::int64_t promptTokens,
                          const std::string &requestId, const std::string &customer,
                          const Document &document, const EntryCaps &caps, TimePoint now)
{
    checkModel(request, promptTokens, document);
    const auto priority = findPriority(request.priority, document);
    if (!priority && !request.priority.empty())
        throw ProblemError({ .reason = RefusalReason::BadRequest,
                             .detail = "There is no priority '" + request.priority
                                     + "'. Leave it out or ask the operators for the names." });
    const Duration fallback = priority && priority->defaultDeadline > Duration {}
            ? priority->defaultDeadline
            : caps.defaultDeadline;
    const std::int64_t milliseconds =
            request.deadlineMilliseconds.value_or(toMilliseconds(fallback));
    return {
        .requestId = requestId,
        .customer = customer,
        .model = request.model,
        .priority = priority ? priority->name : "standard",
        .prompt = request.prompt,
        .promptTokens = promptTokens,
        .maximumTokens = request.maximumTokens,
        .deadline = now + boundedDeadline(milliseconds, caps),
    };
}

} // namespace Lavenderpick
