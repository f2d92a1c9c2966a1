#pragma once

#include "lavenderpick/Document/DocumentChange.h"
#include "lavenderpick/Document/Entries.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// One entry with the version of the document that last changed it.
struct DocumentEntry
{
    std::int64_t version { 0 };
    std::shared_ptr<const nlohmann::json> value; ///< Shared between versions of the document.

    bool operator==(const DocumentEntry &other) const;
};

/// One section. Its version is that of its last change, also when that removed an entry.
struct DocumentSection
{
    std::int64_t version { 0 };
    std::map<std::string, DocumentEntry> entries {};

    bool operator==(const DocumentSection &) const = default;
};

/// The document at one version; version 0 is empty. Copies share their sections.
class Document
{
public:
    std::int64_t version() const { return m_version; }

    /// The section, or an empty one.
    const DocumentSection &section(const std::string &name) const;

    /// The entry, or nothing.
    const DocumentEntry *entry(const std::string &section, const std::string &name) const;

    /// The next version. Throws `Error` of kind Conflict unless the change's version follows this
    /// one, so that no change is skipped or applied twice.
    Document apply(const DocumentChange &change) const;

    /// The version after several changes in order; copies each section that they touch once.
    Document applyAll(const std::vector<DocumentChange> &changes) const;

    /// This version with the sections emptied; their versions stay.
    Document withoutSections(const std::vector<std::string> &names) const;

    /// The typed views below throw `Error` of kind InvalidDocument when an entry can't be read.
    std::optional<CustomerEntry> customer(const std::string &name) const;
    std::optional<ServiceEntry> service(const std::string &name) const;
    std::optional<ModelEntry> model(const std::string &name) const;
    std::optional<PriorityEntry> priority(const std::string &name) const;
    std::optional<PlanEntry> plan(const std::string &upstream) const;
    std::optional<OperatorEntry> operatorEntry(const std::string &name) const;

    /// The plan's epoch; 0 without a plan.
    std::int64_t planEpoch(const std::string &upstream) const;

    /// What the deployment weighs most; ShortSlowdown without priorities.
    Objective objective() const;

    /// The customer whose bearer key `<customer>.<secret>` this is, or nothing.
    std::optional<CustomerEntry> customerByKey(std::string_view bearerKey) const;

    /// The operator whose key `<operator>.<secret>` this is, or nothing.
    std::optional<OperatorEntry> operatorByKey(std::string_view operatorKey) const;

    /// `{version, digest, sections}`; the digest guards against damaged snapshots.
    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage, also for a wrong digest.
    static Document parse(const nlohmann::json &json);

    bool operator==(const Document &other) const;

private:
    std::int64_t m_version { 0 };
    std::map<std::string, std::shared_ptr<const DocumentSection>> m_sections;
};

} // namespace Lavenderpick
