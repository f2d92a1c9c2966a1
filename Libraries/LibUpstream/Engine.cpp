#include "lavenderpick/Upstream/Engine.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

namespace {

template <typename Value>
Value fieldAs(const nlohmann::json &json, const char *field)
{
    try {
        return json.at(field).get<Value>();
    } catch (const nlohmann::json::exception &) {
        throw Error(ErrorKind::InvalidMessage,
                    std::string("The engine's field '") + field + "' is missing or wrong",
                    "Check the engine's release.");
    }
}

} // namespace

nlohmann::json EngineRequest::toJson() const
{
    return { { "id", id },
             { "prompt", prompt },
             { "max_tokens", maximumTokens },
             { "priority", priority },
             { "resume_text", resumeText },
             { "resume_offset", resumeOffset },
             { "handles", handles } };
}

EngineEvent EngineEvent::parse(const nlohmann::json &json)
{
    if (!optionalBool(json, "done", false))
        return { .offset = requireInteger(json, "offset"), .text = requireString(json, "text") };
    return { .done = true,
             .count = requireInteger(json, "count"),
             .digest = requireString(json, "digest"),
             .promptTokens = optionalInteger(json, "prompt_tokens", 0),
             .cachedTokens = optionalInteger(json, "cached_tokens", 0) };
}

EngineLoad EngineLoad::parse(const nlohmann::json &json)
{
    return { .kvTokensInUse = requireInteger(json, "kv_used"),
             .kvCapacity = requireInteger(json, "kv_capacity"),
             .running = requireInteger(json, "running"),
             .waiting = requireInteger(json, "waiting"),
             .prefillBacklog = requireInteger(json, "prefill_backlog"),
             .stepMilliseconds = requireNumber(json, "step_ms"),
             .ageMilliseconds = requireInteger(json, "as_of_ms") };
}

EngineInventory EngineInventory::parse(const nlohmann::json &json)
{
    return { .streams = fieldAs<std::vector<std::string>>(json, "streams"),
             .handles = fieldAs<std::vector<std::string>>(json, "handles") };
}

EngineState EngineState::parse(const nlohmann::json &json)
{
    return { .models = fieldAs<std::map<std::string, std::string>>(json, "models"),
             .adapters = fieldAs<std::map<std::string, std::string>>(json, "adapters"),
             .role = optionalString(json, "role", ""),
             .fence = optionalInteger(json, "fence", 0) };
}

nlohmann::json EngineOrder::toJson() const
{
    return { { "fence", fence },
             { "epoch", epoch },
             { "kind", kind },
             { "name", name },
             { "version", version } };
}

} // namespace Lavenderpick
