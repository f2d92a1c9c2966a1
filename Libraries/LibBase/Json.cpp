#include "lavenderpick/Base/Json.h"

#include "lavenderpick/Base/Error.h"

#include <array>

namespace Lavenderpick {

namespace {

// Copying and printing a value recurse, so unlimited nesting would overflow the stack.
constexpr int maximumDepth = 64;

[[noreturn]] void fail(const std::string &message)
{
    throw Error(ErrorKind::InvalidMessage, message, "Correct the message and send it again.");
}

const nlohmann::json *find(const nlohmann::json &json, const char *field)
{
    if (!json.is_object())
        fail("A JSON object is expected");
    const auto position = json.find(field);
    return position == json.end() || position->is_null() ? nullptr : &*position;
}

const nlohmann::json &require(const nlohmann::json &json, const char *field)
{
    const nlohmann::json *value = find(json, field);
    if (value == nullptr)
        fail(std::string("Field '") + field + "' is missing");
    return *value;
}

const std::string &checkedString(const nlohmann::json &value, const char *field,
                                 std::size_t maximumBytes)
{
    if (!value.is_string())
        fail(std::string("Field '") + field + "' must be a string");
    const auto &text = value.get_ref<const std::string &>();
    if (text.size() > maximumBytes)
        fail(std::string("Field '") + field + "' is longer than " + std::to_string(maximumBytes)
             + " bytes");
    return text;
}

std::int64_t checkedInteger(const nlohmann::json &value, const char *field, std::int64_t minimum,
                            std::int64_t maximum)
{
    const bool tooLarge = value.is_number_unsigned()
            && value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    if (!value.is_number_integer() || tooLarge)
        fail(std::string("Field '") + field + "' must be a whole number");
    const auto number = value.get<std::int64_t>();
    if (number < minimum || number > maximum)
        fail(std::string("Field '") + field + "' must be from " + std::to_string(minimum) + " to "
             + std::to_string(maximum));
    return number;
}

bool checkedBool(const nlohmann::json &value, const char *field)
{
    if (!value.is_boolean())
        fail(std::string("Field '") + field + "' must be true or false");
    return value.get<bool>();
}

} // namespace

nlohmann::json parseJson(std::string_view text, std::string_view what, const JsonRules &rules)
{
    using Event = nlohmann::json::parse_event_t;
    // The parser takes a null byte for the end of the text.
    if (rules.strict && text.find('\0') != std::string_view::npos)
        fail("The " + std::string(what) + " is not valid JSON");
    std::array<std::size_t, maximumDepth + 2> fieldCounts {};
    const auto check = [&](int depth, Event event, nlohmann::json &parsed) {
        if (depth + rules.outerDepth > maximumDepth)
            fail("The " + std::string(what) + " is nested too deeply");
        const auto level = static_cast<std::size_t>(depth);
        if (event == Event::key)
            ++fieldCounts[level];
        else if (event == Event::object_start)
            fieldCounts[level + 1] = 0;
        else if (event == Event::object_end && rules.strict
                 && parsed.size() != fieldCounts[level + 1])
            fail("The " + std::string(what) + " has an object with a duplicate field");
        return true;
    };
    nlohmann::json json = nlohmann::json::parse(text, check, false);
    if (json.is_discarded())
        fail("The " + std::string(what) + " is not valid JSON");
    return json;
}

nlohmann::json parseCbor(std::string_view bytes, std::string_view what)
{
    try {
        return nlohmann::json::from_cbor(bytes.begin(), bytes.end());
    } catch (const nlohmann::json::exception &) {
        // The mode without exceptions still throws for an array that claims an excessive size.
        fail("The " + std::string(what) + " is not valid CBOR");
    }
}

std::string toJsonText(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string toCbor(const nlohmann::json &json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

std::string requireString(const nlohmann::json &json, const char *field, std::size_t maximumBytes)
{
    return checkedString(require(json, field), field, maximumBytes);
}

std::string optionalString(const nlohmann::json &json, const char *field,
                           const std::string &fallback, std::size_t maximumBytes)
{
    const nlohmann::json *value = find(json, field);
    return value == nullptr ? fallback : checkedString(*value, field, maximumBytes);
}

std::string_view requireText(const nlohmann::json &json, const char *field)
{
    return checkedString(require(json, field), field, maximumStringBytes);
}

std::string_view optionalText(const nlohmann::json &json, const char *field,
                              std::string_view fallback)
{
    const nlohmann::json *value = find(json, field);
    return value == nullptr ? fallback : checkedString(*value, field, maximumStringBytes);
}

std::int64_t requireInteger(const nlohmann::json &json, const char *field, std::int64_t minimum,
                            std::int64_t maximum)
{
    return checkedInteger(require(json, field), field, minimum, maximum);
}

std::int64_t optionalInteger(const nlohmann::json &json, const char *field, std::int64_t fallback,
                             std::int64_t minimum, std::int64_t maximum)
{
    const nlohmann::json *value = find(json, field);
    return value == nullptr ? fallback : checkedInteger(*value, field, minimum, maximum);
}

double requireNumber(const nlohmann::json &json, const char *field)
{
    const nlohmann::json &value = require(json, field);
    if (!value.is_number())
        fail(std::string("Field '") + field + "' must be a number");
    return value.get<double>();
}

double optionalNumber(const nlohmann::json &json, const char *field, double fallback)
{
    return find(json, field) == nullptr ? fallback : requireNumber(json, field);
}

bool requireBool(const nlohmann::json &json, const char *field)
{
    return checkedBool(require(json, field), field);
}

bool optionalBool(const nlohmann::json &json, const char *field, bool fallback)
{
    const nlohmann::json *value = find(json, field);
    return value == nullptr ? fallback : checkedBool(*value, field);
}

const nlohmann::json &requireObject(const nlohmann::json &json, const char *field)
{
    const nlohmann::json &value = require(json, field);
    if (!value.is_object())
        fail(std::string("Field '") + field + "' must be an object");
    return value;
}

const nlohmann::json &requireArray(const nlohmann::json &json, const char *field)
{
    const nlohmann::json &value = require(json, field);
    if (!value.is_array())
        fail(std::string("Field '") + field + "' must be an array");
    return value;
}

} // namespace Lavenderpick
