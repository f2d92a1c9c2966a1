#include "Services/Operator/DocumentCommand.h"

#include "Services/Operator/CommandLine.h"
#include "Services/Operator/DocumentApply.h"
#include "Services/Operator/OperatorSession.h"
#include "Services/Operator/SectionFile.h"
#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Document/DocumentCheck.h"

#include <algorithm>
#include <ctime>
#include <filesystem>

namespace Lavenderpick {

namespace {

// How far back 'history' looks; at the target size about four hours.
constexpr std::int64_t historyReach = 5'000;

void requireSection(const std::string &name)
{
    const auto &names = sectionNames();
    if (std::find(names.begin(), names.end(), name) != names.end())
        return;
    std::string list;
    for (const std::string &known : names)
        list += (list.empty() ? "" : ", ") + known;
    throw Error(ErrorKind::NotFound, "There is no section '" + name + "'",
                "Use one of: " + list + ".");
}

void checkFolder(const std::string &folder)
{
    Document document;
    std::vector<SectionFile> files;
    for (const std::string &name : sectionNames()) {
        const std::string path = std::filesystem::path(folder) / (name + ".yaml");
        if (!std::filesystem::exists(path))
            continue;
        files.push_back(SectionFile::fromFile(name, path));
        document = files.back().appliedTo(document);
    }
    if (files.empty())
        throw Error(ErrorKind::NotFound, "'" + folder + "' holds no file of a section",
                    "Name each file after its section, such as customers.yaml.");
    // Problems are listed with the files that hold them; each file locates its own.
    for (const SectionFile &file : files) {
        std::vector<DocumentProblem> problems = checkDocument(document);
        std::erase_if(problems, [&](const DocumentProblem &problem) {
            return problem.path.substr(0, problem.path.find('.')) != file.section();
        });
        file.throwProblems(problems);
    }
}

void checkFile(const CommandLine &line)
{
    const std::string section = line.requiredText("section");
    requireSection(section);
    const SectionFile file = SectionFile::fromFile(section, line.requiredText("file"));
    if (!line.has("settings")) {
        file.throwProblems(checkSection(file.appliedTo({}), section));
        return;
    }
    OperatorSession session(OperatorSession::settingsOf(line));
    const Document present = session.store().load();
    file.throwProblems(checkEdit(present, file.appliedTo(present), section));
}

ExitCode runCheck(int argc, char **argv)
{
    CommandLine line("document check",
                     "Checks a file of one section, or a folder with a file for each section.\n"
                     "With --settings, references are checked against the document in force.");
    line.addText("section", "name of the section");
    line.addText("file", "YAML file of the section");
    line.addText("folder", "folder with <section>.yaml files");
    OperatorSession::addOption(line);
    if (!line.parse(argc, argv))
        return ExitCode::Success;
    if (line.has("folder"))
        checkFolder(line.text("folder"));
    else
        checkFile(line);
    line.print({ { "valid", true } }, "No problems.\n");
    return ExitCode::Success;
}

ExitCode runShow(int argc, char **argv)
{
    CommandLine line("document show",
                     "Shows one section as YAML that can be edited and applied, or the versions\n"
                     "of all sections.");
    line.addText("section", "name of the section");
    OperatorSession::addOption(line);
    if (!line.parse(argc, argv))
        return ExitCode::Success;
    const std::string name = line.text("section");
    if (!name.empty())
        requireSection(name);
    OperatorSession session(OperatorSession::settingsOf(line));
    const Document document = session.store().load();
    if (name.empty()) {
        line.print(sectionVersions(document), describeVersions(document));
        return ExitCode::Success;
    }
    const DocumentSection &section = document.section(name);
    const nlohmann::json content = sectionContent(section);
    line.print({ { "section", name }, { "version", section.version }, { "entries", content } },
               "# Section " + name + ". Apply an edited copy with --base "
                       + std::to_string(section.version) + ".\n" + toYaml(content));
    return ExitCode::Success;
}

ExitCode runApply(int argc, char **argv)
{
    CommandLine line("document apply",
                     "Replaces one section with a file. The base is the section's version that\n"
                     "the file started from, as 'document show' printed it.");
    line.addText("section", "name of the section");
    line.addText("file", "YAML file of the section");
    line.addText("base", "version of the section that the file started from");
    OperatorSession::addOption(line);
    if (!line.parse(argc, argv))
        return ExitCode::Success;
    const std::string section = line.requiredText("section");
    requireSection(section);
    if (section == SectionName::plans)
        throw Error(ErrorKind::Forbidden, "Plans are not applied as a section",
                    "Use 'lavenderpick upstream stop|move|cancel'.");
    line.requiredText("base");
    const std::int64_t base = *line.number("base");
    const SectionFile file = SectionFile::fromFile(section, line.requiredText("file"));
    OperatorSession session(OperatorSession::settingsOf(line));
    return DocumentApply(session, line).run(file, base);
}

std::string describeTime(std::int64_t seconds)
{
    const std::time_t time = seconds;
    std::tm parts {};
    gmtime_r(&time, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

std::string describeChange(const DocumentChange &change)
{
    std::string text = std::to_string(change.version) + "  " + describeTime(change.changedAt) + "  "
            + change.section + "  " + (change.editor.empty() ? "-" : change.editor) + "  "
            + change.token + " ";
    for (const auto &[name, value] : change.entries)
        text += (value.is_null() ? " -" : " ") + name;
    return text + "\n";
}

ExitCode runHistory(int argc, char **argv)
{
    CommandLine line("document history",
                     "Lists the latest changes: version, time, section, editor, token and\n"
                     "entries; a minus marks a removed entry.");
    line.addText("section", "only changes of this section");
    line.addText("limit", "number of changes", "20");
    OperatorSession::addOption(line);
    if (!line.parse(argc, argv))
        return ExitCode::Success;
    const std::string section = line.text("section");
    if (!section.empty())
        requireSection(section);
    const auto limit = static_cast<std::size_t>(line.number("limit").value_or(0));
    OperatorSession session(OperatorSession::settingsOf(line));
    const std::int64_t head = session.store().headVersion();
    auto changes = session.store()
                           .changesSince(std::max<std::int64_t>(0, head - historyReach))
                           .value_or(std::vector<DocumentChange> {});
    std::erase_if(changes, [&](const DocumentChange &change) {
        return !section.empty() && change.section != section;
    });
    if (changes.size() > limit)
        changes.erase(changes.begin(), changes.end() - static_cast<std::ptrdiff_t>(limit));
    nlohmann::json json = nlohmann::json::array();
    std::string text;
    for (const DocumentChange &change : changes) {
        json.push_back(change.toJson());
        text += describeChange(change);
    }
    line.print(json, text);
    return ExitCode::Success;
}

ExitCode runHashKey(int argc, char **argv)
{
    constexpr std::size_t shortestSecret = 16;
    CommandLine line("document hash-key",
                     "Makes a key for a customer or operator and prints its salted hash for the\n"
                     "document. The key itself is shown only now.");
    line.addText("name", "name of the customer or operator");
    line.addText("key-file", "hash the key <name>.<secret> in this file instead of a new one");
    if (!line.parse(argc, argv))
        return ExitCode::Success;
    SystemRandom random;
    const std::string name = line.requiredText("name");
    const std::string key = line.has("key-file")
            ? readKeyFile(line.text("key-file"))
            : newIdentifier(random, name + ".k") + newIdentifier(random, "");
    // The hash is fast, so that the secret has to be long; new ones have 256 random bits.
    if (!key.starts_with(name + ".") || key.size() < name.size() + 1 + shortestSecret)
        throw Error(ErrorKind::InvalidSettings,
                    "The key must be '" + name + ".' and at least 16 random bytes",
                    "Leave --key-file out to make one.");
    const std::string salt = newIdentifier(random, "s");
    const KeyHash hash { .salt = salt, .hash = saltedKeyHash(salt, key.substr(name.size() + 1)) };
    const std::string shownKey = line.has("key-file") ? "" : "# Key: " + key + "\n";
    nlohmann::json json { { "keys", { hash.toJson() } } };
    const std::string yaml = shownKey + toYaml(json);
    if (!line.has("key-file"))
        json["key"] = key;
    line.print(json, yaml);
    return ExitCode::Success;
}

} // namespace

ExitCode runDocumentCommand(int argc, char **argv)
{
    return runAction({ { "check", runCheck, "find every problem of a section's file" },
                       { "show", runShow, "print a section and its version" },
                       { "apply", runApply, "replace a section with a file" },
                       { "history", runHistory, "list the latest changes" },
                       { "hash-key", runHashKey, "make a key and its salted hash" } },
                     argc, argv);
}

} // namespace Lavenderpick
