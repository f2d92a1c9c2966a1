#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace Lavenderpick {

/// A YAML file as JSON that remembers on which line each value stands.
///
/// Quoted scalars are texts; plain ones are null, true, false, numbers or texts.
class YamlDocument
{
public:
    /// Throws `Error` of kind InvalidSettings when the file can't be read, is not YAML, or holds a
    /// key twice or too many values.
    static YamlDocument fromFile(const std::string &path);
    static YamlDocument fromText(const std::string &text, const std::string &name);

    const std::string &fileName() const { return m_fileName; }
    const nlohmann::json &value() const { return m_value; }

    /// The line, from 1, of the value at a path such as `enna.keys[0].salt`, or of the nearest
    /// value around it.
    int line(const std::string &path) const;

private:
    std::string m_fileName;
    nlohmann::json m_value;
    std::map<std::string, int> m_lines;
};

/// Writes JSON as YAML that reads back as the same value.
std::string toYaml(const nlohmann::json &json);

} // namespace Lavenderpick
