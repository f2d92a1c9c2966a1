#include "Services/Operator/DocumentApply.h"

#include "lavenderpick/Document/DocumentCheck.h"

namespace Lavenderpick {

ExitCode DocumentApply::run(const SectionFile &file, std::int64_t base)
{
    const std::string &section = file.section();
    const Document present = m_session.store().load();
    const Document edited = file.appliedTo(present);
    const std::string editor = m_session.authorize(present, edited, section);
    const std::int64_t current = present.section(section).version;
    if (current != base)
        return reportConflict(section, base, current);
    const auto changes = file.changesFrom(present.section(section));
    if (changes.empty()) {
        m_line.print({ { "applied", false }, { "unchanged", true }, { "version", base } },
                     "The section already equals the file.\n");
        return ExitCode::Success;
    }
    file.throwProblems(checkEdit(present, edited, section));
    const EditResult result = m_session.store().apply(
            { .section = section, .entries = changes, .baseVersion = base, .editor = editor });
    if (!result.applied)
        return reportConflict(section, base, result.currentVersion);
    m_line.print({ { "applied", true },
                   { "version", result.version },
                   { "changed_entries", changes.size() } },
                 "Applied as version " + std::to_string(result.version) + "; "
                         + std::to_string(changes.size()) + " entries changed.\n");
    return ExitCode::Success;
}

ExitCode DocumentApply::reportConflict(const std::string &section, std::int64_t base,
                                       std::int64_t currentVersion)
{
    nlohmann::json others = nlohmann::json::array();
    std::string text = "Conflict: section " + section + " has version "
            + std::to_string(currentVersion) + ", not " + std::to_string(base)
            + ". Nothing was changed and your file is as it was.\n";
    const auto changes = m_session.store().changesSince(base);
    for (const DocumentChange &change : changes.value_or(std::vector<DocumentChange> {})) {
        if (change.section != section)
            continue;
        others.push_back(change.toJson());
        text += "  version " + std::to_string(change.version) + " by " + change.editor + ":";
        for (const auto &[name, value] : change.entries)
            text += (value.is_null() ? " -" : " ") + name;
        text += "\n";
    }
    text += "Take these changes over ('lavenderpick document show --section " + section
            + "') and apply again with --base " + std::to_string(currentVersion) + ".\n";
    m_line.print({ { "applied", false },
                   { "conflict", true },
                   { "base", base },
                   { "start_from", currentVersion },
                   { "changes_since_base", std::move(others) } },
                 text);
    return ExitCode::Conflict;
}

nlohmann::json sectionVersions(const Document &document)
{
    nlohmann::json sections = nlohmann::json::object();
    for (const std::string &name : sectionNames())
        sections[name] = { { "version", document.section(name).version },
                           { "entries", document.section(name).entries.size() } };
    return { { "version", document.version() }, { "sections", std::move(sections) } };
}

std::string describeVersions(const Document &document)
{
    std::string text = "document version " + std::to_string(document.version()) + "\n";
    for (const std::string &name : sectionNames())
        text += "  " + name + ": version " + std::to_string(document.section(name).version) + ", "
                + std::to_string(document.section(name).entries.size()) + " entries\n";
    return text;
}

} // namespace Lavenderpick
