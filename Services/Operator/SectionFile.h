#pragma once

#include "lavenderpick/Document/Document.h"
#include "lavenderpick/Settings/YamlDocument.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderpick {

/// One section of the document as an operator's YAML file.
class SectionFile
{
public:
    /// Throws `Error` of kind InvalidSettings when the file is no YAML map.
    static SectionFile fromFile(const std::string &section, const std::string &path);

    const std::string &section() const { return m_section; }

    /// The entries that turn `present` into this file; null for those that it lacks.
    std::map<std::string, nlohmann::json> changesFrom(const DocumentSection &present) const;

    /// The document with this file in place of its section, under the next version.
    Document appliedTo(const Document &document) const;

    /// Throws `Error` of kind InvalidDocument that lists the problems, unless there are none; those
    /// of this section with file and line.
    void throwProblems(const std::vector<DocumentProblem> &problems) const;

private:
    SectionFile(std::string section, YamlDocument yaml);

    std::string m_section;
    YamlDocument m_yaml;
};

/// The entries of a section without their versions, as they stand in its file.
nlohmann::json sectionContent(const DocumentSection &section);

} // namespace Lavenderpick
