#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace Lavenderpick {

/// One accepted edit: the entries of one section that it set or, where the value is null, removed.
struct DocumentChange
{
    std::int64_t version { 0 }; ///< Of the document after this change.
    std::string section;
    std::map<std::string, nlohmann::json> entries {};
    std::string token {};         ///< By which the editor knows its own change.
    std::string editor {};        ///< Name of the operator.
    std::int64_t changedAt { 0 }; ///< Seconds since the Unix epoch.

    bool operator==(const DocumentChange &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static DocumentChange parse(const nlohmann::json &json);
};

} // namespace Lavenderpick
