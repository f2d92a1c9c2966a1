#include "lavenderpick/Document/Entries.h"

#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Units.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// Two keys are in use while a customer changes from one to the next.
constexpr std::size_t maximumKeys = 4;
constexpr std::size_t minimumSaltBytes = 16;
constexpr std::size_t hashBytes = 64;

constexpr Duration maximumTimeout = std::chrono::hours(1);
constexpr Duration maximumDeadline = std::chrono::hours(24 * 31);
constexpr Duration maximumGrace = std::chrono::hours(24);
constexpr std::int64_t maximumRank = 1'000;

template <typename Entry>
Entry parseEntry(const std::string &name, const nlohmann::json &json)
{
    std::vector<DocumentProblem> problems;
    EntryReader reader(json, name, problems);
    Entry entry = Entry::read(name, reader);
    throwProblems(problems);
    return entry;
}

std::vector<KeyHash> readKeys(EntryReader &reader)
{
    std::vector<KeyHash> keys;
    for (EntryReader &key : reader.objects("keys"))
        keys.push_back(KeyHash::read(key));
    if (keys.empty() || keys.size() > maximumKeys)
        reader.addProblem("keys", "must hold one to four keys",
                          "Make them with 'lavenderpick document hash-key'.");
    return keys;
}

bool anyMatches(const std::vector<KeyHash> &keys, std::string_view secret)
{
    bool found = false;
    for (const KeyHash &key : keys)
        found = key.matches(secret) || found;
    return found;
}

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool hasDotSegment(std::string_view path)
{
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::string_view segment = path.substr(0, path.find('/'));
        if (segment == "." || segment == "..")
            return true;
        path.remove_prefix(segment.size());
    }
    return false;
}

} // namespace

const std::vector<std::string> &sectionNames()
{
    static const std::vector<std::string> names {
        SectionName::customers,  SectionName::services, SectionName::models,
        SectionName::priorities, SectionName::plans,    SectionName::operators,
    };
    return names;
}

bool KeyHash::matches(std::string_view secret) const
{
    return equalConstantTime(saltedKeyHash(salt, secret), hash);
}

nlohmann::json KeyHash::toJson() const
{
    return { { "salt", salt }, { "hash", hash } };
}

KeyHash KeyHash::read(EntryReader &reader)
{
    KeyHash key { .salt = reader.text("salt"), .hash = reader.text("hash") };
    const bool isHex = key.hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (key.salt.size() < minimumSaltBytes || key.hash.size() != hashBytes || !isHex)
        reader.addProblem("", "is no salted key hash",
                          "Make it with 'lavenderpick document hash-key'.");
    reader.reportUnknownFields();
    return key;
}

bool CustomerEntry::hasRole(std::string_view role) const
{
    return contains(roles, role);
}

bool CustomerEntry::acceptsKey(std::string_view secret) const
{
    return anyMatches(keys, secret);
}

CustomerEntry CustomerEntry::read(const std::string &name, EntryReader &reader)
{
    CustomerEntry entry {
        .name = name,
        .keys = readKeys(reader),
        .weight = reader.number("weight", 0.001, 1'000'000),
        .budget = reader.number("budget", 0, 1e15),
        .roles = reader.texts("roles"),
    };
    for (const std::string &role : entry.roles) {
        if (role != "completions" && role != "jobs" && !role.starts_with("service:"))
            reader.addProblem("roles", "can't hold '" + role + "'",
                              "Use completions, jobs or service:<name>.");
    }
    return entry;
}

CustomerEntry CustomerEntry::parse(const std::string &name, const nlohmann::json &json)
{
    return parseEntry<CustomerEntry>(name, json);
}

bool ServiceEntry::allowsPath(std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    // An encoded slash or dot could become a segment inside the service.
    if (!path.starts_with('/') || path.find('%') != std::string_view::npos || hasDotSegment(path))
        return false;
    return std::any_of(paths.begin(), paths.end(), [&](const std::string &allowed) {
        if (!path.starts_with(allowed))
            return false;
        return path.size() == allowed.size() || allowed.ends_with('/')
                || path[allowed.size()] == '/';
    });
}

ServiceEntry ServiceEntry::read(const std::string &name, EntryReader &reader)
{
    ServiceEntry entry {
        .name = name,
        .repeatable = reader.flag("repeatable"),
        .paths = reader.texts("paths"),
        .timeout = reader.duration("timeout", Milliseconds(1), maximumTimeout),
    };
    if (entry.paths.empty())
        reader.addProblem("paths", "is missing", "Add a list of paths, such as '/bookings'.");
    for (const std::string &path : entry.paths) {
        if (!path.starts_with('/') || path.find_first_of("?%") != std::string::npos
            || hasDotSegment(path))
            reader.addProblem("paths", "can't hold '" + path + "'",
                              "Start with a slash; use no query, '%', '.' or '..'.");
    }
    return entry;
}

ServiceEntry ServiceEntry::parse(const std::string &name, const nlohmann::json &json)
{
    return parseEntry<ServiceEntry>(name, json);
}

ModelEntry ModelEntry::read(const std::string &name, EntryReader &reader)
{
    ModelEntry entry {
        .name = name,
        .versions = reader.texts("versions"),
        .adapters = reader.texts("adapters"),
        .maximumPromptTokens = reader.integer("maximum_prompt_tokens", 1, 100'000'000),
        .kvBytesPerToken = reader.bytes("kv_bytes_per_token"),
    };
    if (entry.versions.empty())
        reader.addProblem("versions", "is missing",
                          "Add a list of versions; the first takes new work.");
    return entry;
}

ModelEntry ModelEntry::parse(const std::string &name, const nlohmann::json &json)
{
    return parseEntry<ModelEntry>(name, json);
}

PriorityEntry PriorityEntry::read(const std::string &name, EntryReader &reader)
{
    const std::string shortSlowdown(toString(Objective::ShortSlowdown));
    const std::string byLength(toString(Objective::FirstTokenByLength));
    return {
        .name = name,
        .rank = reader.integer("rank", 0, maximumRank),
        .defaultDeadline = reader.duration("default_deadline", Milliseconds(1), maximumDeadline),
        .shedOrder = reader.integer("shed_order", 0, maximumRank),
        .objective = reader.choice("objective", { shortSlowdown, byLength }) == byLength
                ? Objective::FirstTokenByLength
                : Objective::ShortSlowdown,
    };
}

PriorityEntry PriorityEntry::parse(const std::string &name, const nlohmann::json &json)
{
    return parseEntry<PriorityEntry>(name, json);
}

std::string_view toString(PlanAction action)
{
    switch (action) {
    case PlanAction::Serve:
        return "serve";
    case PlanAction::Stop:
        return "stop";
    case PlanAction::Move:
        return "move";
    }
    return "serve";
}

nlohmann::json PlanEntry::toJson() const
{
    nlohmann::json json {
        { "action", std::string(toString(action)) },
        { "grace", formatDuration(grace) },
        { "by", by },
    };
    if (!to.empty())
        json["to"] = to;
    return json;
}

PlanEntry PlanEntry::read(const std::string &name, EntryReader &reader)
{
    PlanEntry entry { .upstream = name };
    const std::string action = reader.choice("action", { "serve", "stop", "move" });
    for (const PlanAction candidate : { PlanAction::Serve, PlanAction::Stop, PlanAction::Move }) {
        if (toString(candidate) == action)
            entry.action = candidate;
    }
    entry.to = reader.text("to", "");
    entry.grace = reader.duration("grace", Seconds(0), maximumGrace, entry.grace);
    entry.by = reader.text("by", "");
    const bool knownTarget = entry.to.starts_with("model:") || entry.to.starts_with("role:")
            || entry.to.starts_with("firm:");
    if (entry.action == PlanAction::Move && !knownTarget)
        reader.addProblem("to", "can't be '" + entry.to + "'",
                          "Use model:<name>, role:<name> or firm:<name>.");
    if (entry.action != PlanAction::Move && !entry.to.empty())
        reader.addProblem("to", "suits a move only", "Remove it.");
    return entry;
}

PlanEntry PlanEntry::parse(const std::string &name, const nlohmann::json &json)
{
    return parseEntry<PlanEntry>(name, json);
}

bool OperatorEntry::acceptsKey(std::string_view secret) const
{
    return anyMatches(keys, secret);
}

bool OperatorEntry::mayChange(std::string_view section) const
{
    return contains(sections, section);
}

OperatorEntry OperatorEntry::read(const std::string &name, EntryReader &reader)
{
    OperatorEntry entry {
        .name = name,
        .keys = readKeys(reader),
        .sections = reader.texts("sections"),
    };
    for (const std::string &section : entry.sections) {
        if (!contains(sectionNames(), section))
            reader.addProblem("sections", "can't hold '" + section + "'",
                              "Use names of sections of the document.");
    }
    return entry;
}

OperatorEntry OperatorEntry::parse(const std::string &name, const nlohmann::json &json)
{
    return parseEntry<OperatorEntry>(name, json);
}

} // namespace Lavenderpick
