#include "lavenderpick/Document/DocumentCheck.h"

#include <algorithm>
#include <functional>
#include <set>

namespace Lavenderpick {

namespace {

using Problems = std::vector<DocumentProblem>;

// Names become parts of keys, of paths and of `<name>.<secret>`.
bool isName(const std::string &name)
{
    constexpr std::size_t maximumBytes = 64;
    return !name.empty() && name.size() <= maximumBytes
            && name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "0123456789-_")
            == std::string::npos;
}

template <typename Entry>
std::vector<Entry> readSection(const DocumentSection &section, const std::string &name,
                               Problems &problems)
{
    std::vector<Entry> entries;
    for (const auto &[entryName, entry] : section.entries) {
        std::string path = name;
        path += "." + entryName;
        if (!isName(entryName))
            problems.push_back({ path, "is no valid name",
                                 "Use up to 64 letters, digits, hyphens and underscores." });
        EntryReader reader(*entry.value, path, problems);
        entries.push_back(Entry::read(entryName, reader));
        reader.reportUnknownFields();
    }
    return entries;
}

void checkPriorities(const std::vector<PriorityEntry> &entries, Problems &problems)
{
    std::set<std::int64_t> ranks;
    for (const PriorityEntry &entry : entries) {
        const std::string path = "priorities." + entry.name;
        if (entry.objective != entries.front().objective)
            problems.push_back({ path + ".objective",
                                 "differs from that of '" + entries.front().name + "'",
                                 "Give all priorities the same objective." });
        if (!ranks.insert(entry.rank).second)
            problems.push_back({ path + ".rank", "is used twice", "Give each its own rank." });
    }
}

void checkOperators(const std::vector<OperatorEntry> &entries, Problems &problems)
{
    const bool anyMayChangeOperators =
            std::any_of(entries.begin(), entries.end(), [](const OperatorEntry &entry) {
                return entry.mayChange(SectionName::operators);
            });
    // Without such an operator nobody could ever change the section again.
    if (!anyMayChangeOperators)
        problems.push_back({ "operators", "lets nobody change 'operators'",
                             "Give at least one operator the section 'operators'." });
}

void checkCustomerReferences(const Document &document, Problems &problems)
{
    constexpr std::string_view prefix = "service:";
    Problems ignored;
    for (const auto &[name, entry] : document.section(SectionName::customers).entries) {
        EntryReader reader(*entry.value, name, ignored);
        for (const std::string &role : reader.texts("roles")) {
            const bool missing = role.starts_with(prefix)
                    && document.entry(SectionName::services, role.substr(prefix.size())) == nullptr;
            if (missing)
                problems.push_back({ "customers." + name + ".roles",
                                     "names '" + role + "', which is not in 'services'",
                                     "Add the service first, or remove the role first." });
        }
    }
}

void checkPlanReferences(const Document &document, Problems &problems)
{
    constexpr std::string_view prefix = "model:";
    Problems ignored;
    for (const auto &[name, entry] : document.section(SectionName::plans).entries) {
        EntryReader reader(*entry.value, name, ignored);
        const std::string to = reader.text("to", "");
        const bool missing = to.starts_with(prefix)
                && document.entry(SectionName::models, to.substr(prefix.size())) == nullptr;
        if (missing)
            problems.push_back({ "plans." + name + ".to",
                                 "names '" + to + "', which is not in 'models'",
                                 "Add the model first, or change the plan first." });
    }
}

} // namespace

std::vector<DocumentProblem> checkSection(const Document &document, const std::string &name)
{
    Problems problems;
    const DocumentSection &section = document.section(name);
    if (name == SectionName::customers)
        readSection<CustomerEntry>(section, name, problems);
    else if (name == SectionName::services)
        readSection<ServiceEntry>(section, name, problems);
    else if (name == SectionName::models)
        readSection<ModelEntry>(section, name, problems);
    else if (name == SectionName::priorities)
        checkPriorities(readSection<PriorityEntry>(section, name, problems), problems);
    else if (name == SectionName::plans)
        readSection<PlanEntry>(section, name, problems);
    else if (name == SectionName::operators)
        checkOperators(readSection<OperatorEntry>(section, name, problems), problems);
    else
        problems.push_back({ name, "is no section", "Use the name of a section." });
    return problems;
}

std::vector<DocumentProblem> checkDocument(const Document &document)
{
    Problems problems;
    for (const std::string &name : sectionNames()) {
        const Problems ofSection = checkSection(document, name);
        problems.insert(problems.end(), ofSection.begin(), ofSection.end());
    }
    checkCustomerReferences(document, problems);
    checkPlanReferences(document, problems);
    return problems;
}

std::vector<DocumentProblem> checkEdit(const Document &before, const Document &after,
                                       const std::string &section)
{
    const Problems known = checkDocument(before);
    Problems problems = checkDocument(after);
    std::erase_if(problems, [&](const DocumentProblem &problem) {
        const bool ofSection = problem.path == section || problem.path.starts_with(section + ".");
        return !ofSection && std::find(known.begin(), known.end(), problem) != known.end();
    });
    return problems;
}

} // namespace Lavenderpick
