#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Objective.h"
#include "lavenderpick/Document/EntryReader.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Names of the document's sections.
namespace SectionName {
constexpr const char *customers = "customers";
constexpr const char *services = "services";
constexpr const char *models = "models";
constexpr const char *priorities = "priorities";
constexpr const char *plans = "plans";
constexpr const char *operators = "operators";
} // namespace SectionName

/// All section names, in the order in which they are listed.
const std::vector<std::string> &sectionNames();

/// A key as it stands in the document, so that a reader of the document can't use it.
struct KeyHash
{
    std::string salt;
    std::string hash; ///< `saltedKeyHash(salt, secret)`.

    bool operator==(const KeyHash &) const = default;

    bool matches(std::string_view secret) const;
    nlohmann::json toJson() const;
    static KeyHash read(EntryReader &reader);
};

/// What every entry has: each type below is read with all problems reported by `read`, and with
/// `Error` of kind InvalidDocument thrown by `parse`.
struct CustomerEntry
{
    std::string name;
    std::vector<KeyHash> keys;      ///< Any of them is accepted, so that keys can be replaced.
    double weight { 1 };            ///< Share of contended capacity relative to others.
    double budget { 0 };            ///< Sustained cost per second, in the unit of the cost model.
    std::vector<std::string> roles; ///< `completions`, `jobs` and `service:<name>`.

    bool operator==(const CustomerEntry &) const = default;

    bool hasRole(std::string_view role) const;
    bool acceptsKey(std::string_view secret) const;

    static CustomerEntry read(const std::string &name, EntryReader &reader);
    static CustomerEntry parse(const std::string &name, const nlohmann::json &json);
};

struct ServiceEntry
{
    std::string name;
    bool repeatable { false };      ///< False: each call runs at most once and needs a key.
    std::vector<std::string> paths; ///< Allowed paths; each covers itself and what is below it.
    Duration timeout { Seconds(30) };

    bool operator==(const ServiceEntry &) const = default;

    /// Whether `path`, which starts with a slash and may have a query, is covered. A path with a
    /// dot segment is never covered, since services differ in how they resolve it.
    bool allowsPath(std::string_view path) const;

    static ServiceEntry read(const std::string &name, EntryReader &reader);
    static ServiceEntry parse(const std::string &name, const nlohmann::json &json);
};

struct ModelEntry
{
    std::string name;
    std::vector<std::string> versions; ///< Served versions; the first takes new work.
    std::vector<std::string> adapters;
    std::int64_t maximumPromptTokens { 0 };
    std::int64_t kvBytesPerToken { 0 }; ///< 0: engines count memory in tokens.

    bool operator==(const ModelEntry &) const = default;

    static ModelEntry read(const std::string &name, EntryReader &reader);
    static ModelEntry parse(const std::string &name, const nlohmann::json &json);
};

struct PriorityEntry
{
    std::string name;
    std::int64_t rank { 0 };      ///< 0 is served first.
    Duration defaultDeadline {};  ///< Of requests that give none.
    std::int64_t shedOrder { 0 }; ///< Under overload the lowest number is refused first.
    Objective objective { Objective::ShortSlowdown }; ///< The same in all entries.

    bool operator==(const PriorityEntry &) const = default;

    static PriorityEntry read(const std::string &name, EntryReader &reader);
    static PriorityEntry parse(const std::string &name, const nlohmann::json &json);
};

enum class PlanAction {
    Serve,
    Stop,
    Move,
};

std::string_view toString(PlanAction action);

/// What is planned for one upstream. The version of its entry in the document is the epoch.
struct PlanEntry
{
    std::string upstream;
    PlanAction action { PlanAction::Serve };
    std::string to {};               ///< Move: `model:<name>`, `role:<name>` or `firm:<name>`.
    Duration grace { Seconds(600) }; ///< Time for running work before it is resumed elsewhere.
    std::string by {};               ///< The operator who planned it.

    bool operator==(const PlanEntry &) const = default;

    nlohmann::json toJson() const;
    static PlanEntry read(const std::string &name, EntryReader &reader);
    static PlanEntry parse(const std::string &name, const nlohmann::json &json);
};

struct OperatorEntry
{
    std::string name;
    std::vector<KeyHash> keys;
    std::vector<std::string> sections; ///< Sections that this operator may change.

    bool operator==(const OperatorEntry &) const = default;

    bool acceptsKey(std::string_view secret) const;
    bool mayChange(std::string_view section) const;

    static OperatorEntry read(const std::string &name, EntryReader &reader);
    static OperatorEntry parse(const std::string &name, const nlohmann::json &json);
};

} // namespace Lavenderpick
