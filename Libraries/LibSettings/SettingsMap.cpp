#include "SettingsContext.h"
#include "lavenderpick/Base/Units.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <sstream>

namespace Lavenderpick {

namespace {

std::string describe(std::int64_t value)
{
    return std::to_string(value);
}

std::string describe(double value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

std::string describe(Duration value)
{
    return formatDuration(value);
}

template <typename Value>
std::string describeRange(const Range<Value> &range)
{
    const std::string least = "at least " + describe(range.minimum);
    return range.maximum == Range<Value> {}.maximum
            ? least
            : least + " and at most " + describe(range.maximum);
}

template <typename Value>
std::optional<Value> parseScalar(const YAML::Node &node)
{
    Value value {};
    // A quoted number is a text, as in every YAML schema.
    if (node.Tag() == "!" || !YAML::convert<Value>::decode(node, value))
        return std::nullopt;
    return value;
}

std::optional<double> parseNumber(const YAML::Node &node)
{
    const auto value = parseScalar<double>(node);
    return value && std::isfinite(*value) ? value : std::nullopt;
}

std::string joined(const std::vector<std::string> &names)
{
    std::string list;
    for (const std::string &name : names)
        list += (list.empty() ? "" : ", ") + name;
    return list;
}

} // namespace

SettingsMap::SettingsMap(std::shared_ptr<SettingsContext> context, std::shared_ptr<State> state)
    : m_context(std::move(context))
    , m_state(std::move(state))
{ }

SettingsMap SettingsMap::child(const YAML::Node &node, const std::string &path) const
{
    return { m_context, m_context->openMap(node, path, m_state->line) };
}

YAML::Node SettingsMap::find(const std::string &key) const
{
    m_state->readKeys.insert(key);
    // The iteration leaves the node unchanged, while operator[] would create the key.
    for (const auto &member : m_state->node) {
        if (member.first.IsScalar() && member.first.Scalar() == key)
            return member.second;
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

std::string SettingsMap::pathOf(const std::string &key) const
{
    return "'" + joinPath(m_state->path, key) + "'";
}

void SettingsMap::wrong(const YAML::Node &node, const std::string &key, const std::string &message,
                        const std::string &remedy) const
{
    m_context->addProblem(lineOf(node, m_state->line), pathOf(key) + " " + message, remedy);
}

void SettingsMap::missing(const std::string &key, const std::string &example) const
{
    m_context->addProblem(m_state->line, pathOf(key) + " is missing", "Add " + example + ".");
}

template <typename Value, typename Parse>
Value SettingsMap::read(const std::string &key, Range<Value> range, const Value *fallback,
                        const std::string &form, Parse parse) const
{
    const Value substitute = fallback ? *fallback : range.minimum;
    const YAML::Node node = find(key);
    if (!node.IsDefined() || node.IsNull()) {
        if (!fallback)
            missing(key, form + ", " + describeRange(range));
        return substitute;
    }
    const std::optional<Value> value = node.IsScalar() ? parse(node) : std::nullopt;
    if (!value) {
        wrong(node, key, "must be " + form, "Write " + form + ", " + describeRange(range) + ".");
        return substitute;
    }
    if (*value < range.minimum || *value > range.maximum) {
        wrong(node, key, "is out of range", "Write " + describeRange(range) + ".");
        return substitute;
    }
    return *value;
}

std::string SettingsMap::text(const std::string &key) const
{
    std::string value = text(key, "");
    const YAML::Node node = find(key);
    if (value.empty() && (!node.IsDefined() || node.IsNull() || node.IsScalar()))
        missing(key, "a text");
    return value;
}

std::string SettingsMap::text(const std::string &key, const std::string &fallback) const
{
    const YAML::Node node = find(key);
    if (!node.IsDefined() || node.IsNull())
        return fallback;
    if (node.IsScalar())
        return node.Scalar();
    wrong(node, key, "must be a text", "Write one value.");
    return fallback;
}

std::string SettingsMap::choice(const std::string &key,
                                const std::vector<std::string> &choices) const
{
    if (!has(key))
        missing(key, "one of: " + joined(choices));
    return choice(key, choices, choices.front());
}

std::string SettingsMap::choice(const std::string &key, const std::vector<std::string> &choices,
                                const std::string &fallback) const
{
    std::string value = text(key, fallback);
    if (value == fallback || std::find(choices.begin(), choices.end(), value) != choices.end())
        return value;
    wrong(find(key), key, "can't be '" + value + "'", "Use one of: " + joined(choices) + ".");
    return fallback;
}

std::int64_t SettingsMap::integer(const std::string &key, Range<std::int64_t> range) const
{
    return read<std::int64_t>(key, range, nullptr, "a whole number", parseScalar<std::int64_t>);
}

std::int64_t SettingsMap::integer(const std::string &key, Range<std::int64_t> range,
                                  std::int64_t fallback) const
{
    return read<std::int64_t>(key, range, &fallback, "a whole number", parseScalar<std::int64_t>);
}

double SettingsMap::number(const std::string &key, Range<double> range) const
{
    return read<double>(key, range, nullptr, "a number", parseNumber);
}

double SettingsMap::number(const std::string &key, Range<double> range, double fallback) const
{
    return read<double>(key, range, &fallback, "a number", parseNumber);
}

bool SettingsMap::flag(const std::string &key) const
{
    if (!has(key))
        missing(key, "true or false");
    return flag(key, false);
}

bool SettingsMap::flag(const std::string &key, bool fallback) const
{
    const YAML::Node node = find(key);
    if (!node.IsDefined() || node.IsNull())
        return fallback;
    const bool known = node.IsScalar() && (node.Scalar() == "true" || node.Scalar() == "false");
    if (!known)
        wrong(node, key, "must be true or false", "Write true or false.");
    return known ? node.Scalar() == "true" : fallback;
}

Duration SettingsMap::duration(const std::string &key, Range<Duration> range) const
{
    return read<Duration>(key, range, nullptr, "a duration such as '250 ms' or '3 s'",
                          [](const YAML::Node &node) { return parseDuration(node.Scalar()); });
}

Duration SettingsMap::duration(const std::string &key, Range<Duration> range,
                               Duration fallback) const
{
    return read<Duration>(key, range, &fallback, "a duration such as '250 ms' or '3 s'",
                          [](const YAML::Node &node) { return parseDuration(node.Scalar()); });
}

std::int64_t SettingsMap::bytes(const std::string &key, Range<std::int64_t> range) const
{
    return read<std::int64_t>(key, range, nullptr, "a size such as '64 KiB' or '16 MiB'",
                              [](const YAML::Node &node) { return parseBytes(node.Scalar()); });
}

std::int64_t SettingsMap::bytes(const std::string &key, Range<std::int64_t> range,
                                std::int64_t fallback) const
{
    return read<std::int64_t>(key, range, &fallback, "a size such as '64 KiB' or '16 MiB'",
                              [](const YAML::Node &node) { return parseBytes(node.Scalar()); });
}

std::vector<std::string> SettingsMap::texts(const std::string &key) const
{
    const YAML::Node node = find(key);
    std::vector<std::string> values;
    if (!node.IsDefined() || node.IsNull())
        return values;
    if (!node.IsSequence())
        wrong(node, key, "must be a list", "Write '- ' before each value.");
    else
        for (const YAML::Node &item : node) {
            if (item.IsScalar())
                values.push_back(item.Scalar());
            else
                wrong(item, key, "must hold texts only", "Write one value an item.");
        }
    return values;
}

SettingsMap SettingsMap::map(const std::string &key) const
{
    return child(find(key), joinPath(m_state->path, key));
}

std::vector<SettingsMap> SettingsMap::maps(const std::string &key) const
{
    const YAML::Node node = find(key);
    std::vector<SettingsMap> values;
    if (!node.IsDefined() || node.IsNull())
        return values;
    if (!node.IsSequence()) {
        wrong(node, key, "must be a list of maps", "Write '- ' before each map.");
        return values;
    }
    for (const YAML::Node &item : node)
        values.push_back(child(
                item, joinPath(m_state->path, key) + "[" + std::to_string(values.size()) + "]"));
    return values;
}

std::vector<std::pair<std::string, SettingsMap>>
SettingsMap::namedMaps(const std::string &key) const
{
    const SettingsMap parent = map(key);
    std::vector<std::pair<std::string, SettingsMap>> values;
    for (const auto &member : parent.m_state->node) {
        const std::string name = member.first.IsScalar() ? member.first.Scalar() : "?";
        parent.m_state->readKeys.insert(name);
        values.emplace_back(name, child(member.second, joinPath(parent.m_state->path, name)));
    }
    return values;
}

bool SettingsMap::has(const std::string &key) const
{
    const YAML::Node node = find(key);
    return node.IsDefined() && !node.IsNull();
}

void SettingsMap::addProblem(const std::string &key, const std::string &message,
                             const std::string &remedy) const
{
    wrong(find(key), key, message, remedy);
}

} // namespace Lavenderpick
