#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Lavenderpick {

/// What `parseJson` rejects besides text that is not JSON.
struct JsonRules
{
    /// Arrays and objects around the text, which count towards the limit of nesting.
    int outerDepth { 0 };
    /// Rejects objects with two fields of the same name, and text with a null byte.
    bool strict { false };
};

/// Parses text of a message; throws `Error` of kind InvalidMessage that names `what` was parsed.
nlohmann::json parseJson(std::string_view text, std::string_view what, const JsonRules &rules = {});

/// Parses CBOR bytes of a message; throws like `parseJson`.
nlohmann::json parseCbor(std::string_view bytes, std::string_view what);

/// The value as text. Bytes of strings that are not UTF-8, such as callers may send, are replaced.
std::string toJsonText(const nlohmann::json &json);

/// Bytes of the value as CBOR.
std::string toCbor(const nlohmann::json &json);

/// The field readers below throw `Error` of kind InvalidMessage that names the field when it is
/// missing, of another type or out of range.
constexpr std::size_t maximumStringBytes = 64 * 1024 * 1024;

std::string requireString(const nlohmann::json &json, const char *field,
                          std::size_t maximumBytes = maximumStringBytes);
std::string optionalString(const nlohmann::json &json, const char *field,
                           const std::string &fallback,
                           std::size_t maximumBytes = maximumStringBytes);
/// The same without a copy, valid as long as the field is unchanged.
std::string_view requireText(const nlohmann::json &json, const char *field);
std::string_view optionalText(const nlohmann::json &json, const char *field,
                              std::string_view fallback);
std::int64_t requireInteger(const nlohmann::json &json, const char *field, std::int64_t minimum = 0,
                            std::int64_t maximum = INT64_MAX);
std::int64_t optionalInteger(const nlohmann::json &json, const char *field, std::int64_t fallback,
                             std::int64_t minimum = 0, std::int64_t maximum = INT64_MAX);
double requireNumber(const nlohmann::json &json, const char *field);
double optionalNumber(const nlohmann::json &json, const char *field, double fallback);
bool requireBool(const nlohmann::json &json, const char *field);
bool optionalBool(const nlohmann::json &json, const char *field, bool fallback);
const nlohmann::json &requireObject(const nlohmann::json &json, const char *field);
const nlohmann::json &requireArray(const nlohmann::json &json, const char *field);

} // namespace Lavenderpick
