#include "lavenderpick/Document/DocumentChange.h"

#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

nlohmann::json DocumentChange::toJson() const
{
    return {
        { "version", version }, { "section", section }, { "entries", entries },
        { "token", token },     { "editor", editor },   { "changed_at", changedAt },
    };
}

DocumentChange DocumentChange::parse(const nlohmann::json &json)
{
    return {
        .version = requireInteger(json, "version", 1),
        .section = requireString(json, "section"),
        .entries = requireObject(json, "entries").get<std::map<std::string, nlohmann::json>>(),
        .token = requireString(json, "token"),
        .editor = optionalString(json, "editor", ""),
        .changedAt = optionalInteger(json, "changed_at", 0),
    };
}

} // namespace Lavenderpick
