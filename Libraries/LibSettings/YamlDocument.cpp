#include "lavenderpick/Settings/YamlDocument.h"

#include "SettingsContext.h"
#include "YamlText.h"
#include "lavenderpick/Base/Error.h"

#include <cmath>

namespace Lavenderpick {

namespace {

// Aliases let a small file stand for a value of any size.
constexpr int maximumValues = 500'000;
constexpr int maximumDepth = 32;

class Converter
{
public:
    Converter(const std::string &fileName, std::map<std::string, int> &lines)
        : m_fileName(fileName)
        , m_lines(lines)
    { }

    nlohmann::json convert(const YAML::Node &node, const std::string &path, int depth)
    {
        const int line = lineOf(node, 1);
        m_lines.emplace(path, line);
        if (++m_values > maximumValues || depth > maximumDepth)
            fail(line, "The file holds too many values or levels", "Write less.");
        if (node.IsMap())
            return convertMap(node, path, depth);
        if (node.IsSequence())
            return convertList(node, path, depth);
        return node.IsScalar() ? convertScalar(node) : nlohmann::json();
    }

private:
    [[noreturn]] void fail(int line, const std::string &message, const std::string &remedy) const
    {
        throw Error(ErrorKind::InvalidSettings,
                    m_fileName + ":" + std::to_string(line) + ": " + message, remedy);
    }

    nlohmann::json convertMap(const YAML::Node &node, const std::string &path, int depth)
    {
        nlohmann::json json = nlohmann::json::object();
        for (const auto &member : node) {
            const int line = lineOf(member.first, 1);
            if (!member.first.IsScalar())
                fail(line, "A key must be a text", "Write one word before the colon.");
            const std::string key = member.first.Scalar();
            const std::string childPath = joinPath(path, key);
            if (json.contains(key))
                fail(line, "'" + childPath + "' stands twice", "Keep one.");
            m_lines.emplace(childPath, line);
            json[key] = convert(member.second, childPath, depth + 1);
        }
        return json;
    }

    nlohmann::json convertList(const YAML::Node &node, const std::string &path, int depth)
    {
        nlohmann::json json = nlohmann::json::array();
        for (const YAML::Node &item : node) {
            std::string childPath = path;
            childPath += "[" + std::to_string(json.size()) + "]";
            json.push_back(convert(item, childPath, depth + 1));
        }
        return json;
    }

    static nlohmann::json convertScalar(const YAML::Node &node)
    {
        const std::string &text = node.Scalar();
        if (node.Tag() == "!")
            return text;
        if (text == "true" || text == "false")
            return text == "true";
        std::int64_t integer = 0;
        if (YAML::convert<std::int64_t>::decode(node, integer))
            return integer;
        double number = 0;
        if (YAML::convert<double>::decode(node, number) && std::isfinite(number))
            return number;
        return text;
    }

    const std::string &m_fileName;
    std::map<std::string, int> &m_lines;
    int m_values { 0 };
};

void emit(YAML::Emitter &emitter, const nlohmann::json &json)
{
    switch (json.type()) {
    case nlohmann::json::value_t::object:
        emitter << YAML::BeginMap;
        for (const auto &[key, value] : json.items()) {
            emitter << YAML::Key << key << YAML::Value;
            emit(emitter, value);
        }
        emitter << YAML::EndMap;
        break;
    case nlohmann::json::value_t::array:
        emitter << YAML::BeginSeq;
        for (const nlohmann::json &item : json)
            emit(emitter, item);
        emitter << YAML::EndSeq;
        break;
    case nlohmann::json::value_t::string:
        emitter << YAML::DoubleQuoted << json.get_ref<const std::string &>();
        break;
    case nlohmann::json::value_t::null:
        emitter << YAML::Null;
        break;
    case nlohmann::json::value_t::boolean:
        emitter << json.get<bool>();
        break;
    default:
        emitter << json.dump();
    }
}

} // namespace

YamlDocument YamlDocument::fromFile(const std::string &path)
{
    return fromText(readSettingsText(path), path);
}

YamlDocument YamlDocument::fromText(const std::string &text, const std::string &name)
{
    YamlDocument document;
    document.m_fileName = name;
    document.m_value = Converter(name, document.m_lines).convert(loadYaml(text, name), "", 0);
    return document;
}

int YamlDocument::line(const std::string &path) const
{
    std::string nearest = path;
    while (true) {
        const auto position = m_lines.find(nearest);
        if (position != m_lines.end())
            return position->second;
        const std::size_t end = nearest.find_last_of(".[");
        nearest = end == std::string::npos ? "" : nearest.substr(0, end);
        if (nearest.empty())
            return 1;
    }
}

std::string toYaml(const nlohmann::json &json)
{
    YAML::Emitter emitter;
    emit(emitter, json);
    return std::string(emitter.c_str()) + "\n";
}

} // namespace Lavenderpick
