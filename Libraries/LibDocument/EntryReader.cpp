#include "lavenderpick/Document/EntryReader.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Units.h"

#include <algorithm>
#include <sstream>

namespace Lavenderpick {

namespace {

std::string describe(double value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

} // namespace

std::string DocumentProblem::toText() const
{
    return path + ": " + message + ". " + remedy;
}

void throwProblems(const std::vector<DocumentProblem> &problems)
{
    if (problems.empty())
        return;
    std::string list = std::to_string(problems.size()) + " problem(s) in the document";
    for (const DocumentProblem &problem : problems)
        list += "\n" + problem.toText();
    list.pop_back(); // Error adds the full stop.
    throw Error(ErrorKind::InvalidDocument, list, "Correct the section and apply it again.");
}

EntryReader::EntryReader(const nlohmann::json &json, std::string path,
                         std::vector<DocumentProblem> &problems)
    : m_json(&json)
    , m_path(std::move(path))
    , m_problems(&problems)
{
    if (!json.is_object())
        m_problems->push_back({ m_path, "must be a map", "Write fields and values." });
}

void EntryReader::addProblem(const std::string &field, const std::string &message,
                             const std::string &remedy)
{
    m_problems->push_back({ field.empty() ? m_path : m_path + "." + field, message, remedy });
}

const nlohmann::json *EntryReader::find(const char *field)
{
    m_readFields.insert(field);
    if (!m_json->is_object())
        return nullptr;
    const auto position = m_json->find(field);
    return position == m_json->end() || position->is_null() ? nullptr : &*position;
}

const nlohmann::json *EntryReader::require(const char *field, const std::string &form)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr && m_json->is_object())
        addProblem(field, "is missing", "Add " + form + ".");
    return value;
}

std::string EntryReader::text(const char *field)
{
    const nlohmann::json *value = require(field, "a text");
    if (value == nullptr)
        return {};
    std::string result = text(field, std::string());
    if (result.empty() && value->is_string())
        addProblem(field, "is empty", "Write a text.");
    return result;
}

std::string EntryReader::text(const char *field, const std::string &fallback)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr)
        return fallback;
    if (value->is_string())
        return value->get<std::string>();
    addProblem(field, "must be a text", "Write it in quotes.");
    return fallback;
}

std::string EntryReader::choice(const char *field, const std::vector<std::string> &choices)
{
    std::string list;
    for (const std::string &name : choices)
        list += (list.empty() ? "" : ", ") + name;
    const nlohmann::json *value = require(field, "one of: " + list);
    if (value == nullptr)
        return choices.front();
    if (value->is_string()
        && std::find(choices.begin(), choices.end(), value->get<std::string>()) != choices.end())
        return value->get<std::string>();
    addProblem(field, "can't be " + value->dump(), "Use one of: " + list + ".");
    return choices.front();
}

std::int64_t EntryReader::checked(const char *field, const nlohmann::json *value,
                                  std::int64_t minimum, std::int64_t maximum)
{
    if (value == nullptr)
        return minimum;
    const std::string range = "from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const bool fits = value->is_number_integer()
            && !(value->is_number_unsigned()
                 && value->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum))
            && value->get<std::int64_t>() >= minimum && value->get<std::int64_t>() <= maximum;
    if (!fits)
        addProblem(field, "must be a whole number " + range, "Correct the number.");
    return fits ? value->get<std::int64_t>() : minimum;
}

std::int64_t EntryReader::integer(const char *field, std::int64_t minimum, std::int64_t maximum)
{
    return checked(field, require(field, "a whole number"), minimum, maximum);
}

std::int64_t EntryReader::integer(const char *field, std::int64_t minimum, std::int64_t maximum,
                                  std::int64_t fallback)
{
    const nlohmann::json *value = find(field);
    return value == nullptr ? fallback : checked(field, value, minimum, maximum);
}

double EntryReader::number(const char *field, double minimum, double maximum)
{
    const nlohmann::json *value = require(field, "a number");
    if (value == nullptr)
        return minimum;
    if (value->is_number() && value->get<double>() >= minimum && value->get<double>() <= maximum)
        return value->get<double>();
    addProblem(field, "must be a number from " + describe(minimum) + " to " + describe(maximum),
               "Correct the number.");
    return minimum;
}

bool EntryReader::flag(const char *field)
{
    const nlohmann::json *value = require(field, "true or false");
    if (value != nullptr && !value->is_boolean())
        addProblem(field, "must be true or false", "Write true or false.");
    return value != nullptr && value->is_boolean() && value->get<bool>();
}

Duration EntryReader::checkedDuration(const char *field, const nlohmann::json *value,
                                      Duration minimum, Duration maximum)
{
    if (value == nullptr)
        return minimum;
    const auto duration =
            value->is_string() ? parseDuration(value->get<std::string>()) : std::nullopt;
    if (duration && *duration >= minimum && *duration <= maximum)
        return *duration;
    addProblem(field,
               "must be a duration from " + formatDuration(minimum) + " to "
                       + formatDuration(maximum),
               "Write number and unit, such as '30 s'.");
    return minimum;
}

Duration EntryReader::duration(const char *field, Duration minimum, Duration maximum)
{
    return checkedDuration(field, require(field, "a duration such as '30 s'"), minimum, maximum);
}

Duration EntryReader::duration(const char *field, Duration minimum, Duration maximum,
                               Duration fallback)
{
    const nlohmann::json *value = find(field);
    return value == nullptr ? fallback : checkedDuration(field, value, minimum, maximum);
}

std::int64_t EntryReader::bytes(const char *field)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr)
        return 0;
    const auto size = value->is_string() ? parseBytes(value->get<std::string>()) : std::nullopt;
    if (!size)
        addProblem(field, "must be a size", "Write number and unit, such as '64 KiB'.");
    return size.value_or(0);
}

std::vector<std::string> EntryReader::texts(const char *field)
{
    const nlohmann::json *value = find(field);
    std::vector<std::string> result;
    if (value == nullptr)
        return result;
    if (!value->is_array()) {
        addProblem(field, "must be a list", "Write a list of texts.");
        return result;
    }
    for (const nlohmann::json &item : *value) {
        if (item.is_string() && !item.get_ref<const std::string &>().empty())
            result.push_back(item.get<std::string>());
        else
            addProblem(field, "must hold texts only", "Write each item in quotes.");
    }
    return result;
}

std::vector<EntryReader> EntryReader::objects(const char *field)
{
    const nlohmann::json *value = find(field);
    std::vector<EntryReader> result;
    if (value == nullptr)
        return result;
    if (!value->is_array()) {
        addProblem(field, "must be a list", "Write a list of maps.");
        return result;
    }
    for (const nlohmann::json &item : *value)
        result.emplace_back(item, m_path + "." + field + "[" + std::to_string(result.size()) + "]",
                            *m_problems);
    return result;
}

void EntryReader::reportUnknownFields()
{
    if (!m_json->is_object())
        return;
    std::string known;
    for (const std::string &name : m_readFields)
        known += (known.empty() ? "" : ", ") + name;
    for (const auto &[name, value] : m_json->items()) {
        if (!m_readFields.contains(name))
            addProblem(name, "is unknown", "Remove it or use one of: " + known + ".");
    }
}

} // namespace Lavenderpick
