#include "lavenderpick/Document/Document.h"

#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

namespace {

template <typename Entry>
std::optional<Entry> viewOf(const Document &document, const char *section, const std::string &name)
{
    const DocumentEntry *entry = document.entry(section, name);
    return entry == nullptr ? std::nullopt : std::optional(Entry::parse(name, *entry->value));
}

template <typename Entry>
std::optional<Entry> ownerOfKey(const Document &document, const char *section, std::string_view key)
{
    const std::size_t dot = key.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    auto entry = viewOf<Entry>(document, section, std::string(key.substr(0, dot)));
    return entry && entry->acceptsKey(key.substr(dot + 1)) ? std::move(entry) : std::nullopt;
}

nlohmann::json toJson(const DocumentSection &section)
{
    nlohmann::json entries = nlohmann::json::object();
    for (const auto &[name, entry] : section.entries)
        entries[name] = { { "version", entry.version }, { "value", *entry.value } };
    return { { "version", section.version }, { "entries", std::move(entries) } };
}

DocumentSection parseSection(const nlohmann::json &json, std::int64_t documentVersion)
{
    DocumentSection section { .version = requireInteger(json, "version", 0, documentVersion) };
    for (const auto &[name, entry] : requireObject(json, "entries").items())
        section.entries[name] = {
            .version = requireInteger(entry, "version", 1, documentVersion),
            .value = std::make_shared<const nlohmann::json>(requireObject(entry, "value")),
        };
    return section;
}

void applyTo(DocumentSection &section, const DocumentChange &change)
{
    section.version = change.version;
    for (const auto &[name, value] : change.entries) {
        if (value.is_null())
            section.entries.erase(name);
        else
            section.entries[name] = { change.version,
                                      std::make_shared<const nlohmann::json>(value) };
    }
}

std::string digestOf(std::int64_t version, const nlohmann::json &sections)
{
    return sha256(std::to_string(version) + "\n" + sections.dump());
}

} // namespace

bool DocumentEntry::operator==(const DocumentEntry &other) const
{
    return version == other.version && (value == other.value || *value == *other.value);
}

const DocumentSection &Document::section(const std::string &name) const
{
    static const DocumentSection empty;
    const auto position = m_sections.find(name);
    return position == m_sections.end() ? empty : *position->second;
}

const DocumentEntry *Document::entry(const std::string &section, const std::string &name) const
{
    const auto &entries = this->section(section).entries;
    const auto position = entries.find(name);
    return position == entries.end() ? nullptr : &position->second;
}

Document Document::apply(const DocumentChange &change) const
{
    return applyAll({ change });
}

Document Document::applyAll(const std::vector<DocumentChange> &changes) const
{
    Document next = *this;
    std::map<std::string, std::shared_ptr<DocumentSection>> touched;
    for (const DocumentChange &change : changes) {
        if (change.version != next.m_version + 1)
            throw Error(ErrorKind::Conflict,
                        "Change " + std::to_string(change.version) + " does not follow version "
                                + std::to_string(next.m_version),
                        "Fetch the changes in between.");
        auto &section = touched[change.section];
        if (!section)
            section = std::make_shared<DocumentSection>(this->section(change.section));
        applyTo(*section, change);
        next.m_version = change.version;
    }
    for (auto &[name, section] : touched)
        next.m_sections[name] = std::move(section);
    return next;
}

Document Document::withoutSections(const std::vector<std::string> &names) const
{
    Document result = *this;
    for (const std::string &name : names) {
        const auto position = result.m_sections.find(name);
        if (position != result.m_sections.end())
            position->second = std::make_shared<const DocumentSection>(
                    DocumentSection { .version = position->second->version });
    }
    return result;
}

std::optional<CustomerEntry> Document::customer(const std::string &name) const
{
    return viewOf<CustomerEntry>(*this, SectionName::customers, name);
}

std::optional<ServiceEntry> Document::service(const std::string &name) const
{
    return viewOf<ServiceEntry>(*this, SectionName::services, name);
}

std::optional<ModelEntry> Document::model(const std::string &name) const
{
    return viewOf<ModelEntry>(*this, SectionName::models, name);
}

std::optional<PriorityEntry> Document::priority(const std::string &name) const
{
    return viewOf<PriorityEntry>(*this, SectionName::priorities, name);
}

std::optional<PlanEntry> Document::plan(const std::string &upstream) const
{
    return viewOf<PlanEntry>(*this, SectionName::plans, upstream);
}

std::optional<OperatorEntry> Document::operatorEntry(const std::string &name) const
{
    return viewOf<OperatorEntry>(*this, SectionName::operators, name);
}

std::int64_t Document::planEpoch(const std::string &upstream) const
{
    const DocumentEntry *plan = entry(SectionName::plans, upstream);
    return plan == nullptr ? 0 : plan->version;
}

Objective Document::objective() const
{
    const auto &entries = section(SectionName::priorities).entries;
    return entries.empty()
            ? Objective::ShortSlowdown
            : PriorityEntry::parse(entries.begin()->first, *entries.begin()->second.value)
                      .objective;
}

std::optional<CustomerEntry> Document::customerByKey(std::string_view bearerKey) const
{
    return ownerOfKey<CustomerEntry>(*this, SectionName::customers, bearerKey);
}

std::optional<OperatorEntry> Document::operatorByKey(std::string_view operatorKey) const
{
    return ownerOfKey<OperatorEntry>(*this, SectionName::operators, operatorKey);
}

nlohmann::json Document::toJson() const
{
    nlohmann::json sections = nlohmann::json::object();
    for (const auto &[name, section] : m_sections)
        sections[name] = Lavenderpick::toJson(*section);
    std::string digest = digestOf(m_version, sections);
    return { { "version", m_version },
             { "digest", std::move(digest) },
             { "sections", std::move(sections) } };
}

Document Document::parse(const nlohmann::json &json)
{
    Document document;
    document.m_version = requireInteger(json, "version");
    const nlohmann::json &sections = requireObject(json, "sections");
    if (requireString(json, "digest") != digestOf(document.m_version, sections))
        throw Error(ErrorKind::InvalidMessage, "The document does not match its digest",
                    "Fetch it again or from elsewhere.");
    for (const auto &[name, section] : sections.items())
        document.m_sections[name] =
                std::make_shared<const DocumentSection>(parseSection(section, document.m_version));
    return document;
}

bool Document::operator==(const Document &other) const
{
    if (m_version != other.m_version || m_sections.size() != other.m_sections.size())
        return false;
    for (const auto &[name, section] : m_sections) {
        const auto position = other.m_sections.find(name);
        if (position == other.m_sections.end() || *section != *position->second)
            return false;
    }
    return true;
}

} // namespace Lavenderpick
