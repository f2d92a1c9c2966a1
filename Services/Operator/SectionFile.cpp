#include "Services/Operator/SectionFile.h"

#include "lavenderpick/Base/Error.h"

namespace Lavenderpick {

SectionFile::SectionFile(std::string section, YamlDocument yaml)
    : m_section(std::move(section))
    , m_yaml(std::move(yaml))
{ }

SectionFile SectionFile::fromFile(const std::string &section, const std::string &path)
{
    YamlDocument yaml = YamlDocument::fromFile(path);
    if (!yaml.value().is_object())
        throw Error(ErrorKind::InvalidSettings, path + ":1: The file must be a map of entries",
                    "Write one entry's name, a colon, and its fields below.");
    return { section, std::move(yaml) };
}

std::map<std::string, nlohmann::json> SectionFile::changesFrom(const DocumentSection &present) const
{
    std::map<std::string, nlohmann::json> changes;
    for (const auto &[name, value] : m_yaml.value().items()) {
        const auto entry = present.entries.find(name);
        if (entry == present.entries.end() || *entry->second.value != value)
            changes[name] = value.is_null() ? nlohmann::json::object() : value;
    }
    for (const auto &[name, entry] : present.entries) {
        if (!m_yaml.value().contains(name))
            changes[name] = nullptr;
    }
    return changes;
}

Document SectionFile::appliedTo(const Document &document) const
{
    return document.apply({ .version = document.version() + 1,
                            .section = m_section,
                            .entries = changesFrom(document.section(m_section)) });
}

void SectionFile::throwProblems(const std::vector<DocumentProblem> &problems) const
{
    std::vector<DocumentProblem> located = problems;
    for (DocumentProblem &problem : located) {
        const std::string prefix = m_section + ".";
        const bool inFile = problem.path == m_section || problem.path.starts_with(prefix);
        if (!inFile)
            continue;
        const std::string path =
                problem.path == m_section ? "" : problem.path.substr(prefix.size());
        const int line = m_yaml.line(path);
        problem.path = m_yaml.fileName() + ":" + std::to_string(line) + ": " + problem.path;
    }
    Lavenderpick::throwProblems(located);
}

nlohmann::json sectionContent(const DocumentSection &section)
{
    nlohmann::json content = nlohmann::json::object();
    for (const auto &[name, entry] : section.entries)
        content[name] = *entry.value;
    return content;
}

} // namespace Lavenderpick
