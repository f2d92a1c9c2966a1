#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

/// One fault of a document, at a path such as `customers.enna.weight`.
struct DocumentProblem
{
    std::string path;
    std::string message;
    std::string remedy;

    bool operator==(const DocumentProblem &) const = default;

    /// The path, the message and the remedy as one line.
    std::string toText() const;
};

/// Throws `Error` of kind InvalidDocument that lists the problems, unless there are none.
void throwProblems(const std::vector<DocumentProblem> &problems);

/// Reads the fields of one entry of the document. A wrong field adds a problem and reads as the
/// fallback or the least value, so that all problems of an entry are found at once.
class EntryReader
{
public:
    EntryReader(const nlohmann::json &json, std::string path,
                std::vector<DocumentProblem> &problems);

    /// Text of at least one byte, unless there is a fallback.
    std::string text(const char *field);
    std::string text(const char *field, const std::string &fallback);
    std::string choice(const char *field, const std::vector<std::string> &choices);

    std::int64_t integer(const char *field, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer(const char *field, std::int64_t minimum, std::int64_t maximum,
                         std::int64_t fallback);
    double number(const char *field, double minimum, double maximum);
    bool flag(const char *field);

    /// Duration with unit, such as `30 s`.
    Duration duration(const char *field, Duration minimum, Duration maximum);
    Duration duration(const char *field, Duration minimum, Duration maximum, Duration fallback);

    /// Size with unit, such as `64 KiB`; 0 when it is missing.
    std::int64_t bytes(const char *field);

    /// List of texts; empty when it is missing.
    std::vector<std::string> texts(const char *field);

    /// List of objects; empty when it is missing.
    std::vector<EntryReader> objects(const char *field);

    void addProblem(const std::string &field, const std::string &message,
                    const std::string &remedy);

    /// Adds a problem for each field that nobody read. Only edits are checked for this: a process
    /// of an earlier release must accept fields that a later one added.
    void reportUnknownFields();

private:
    const nlohmann::json *find(const char *field);
    const nlohmann::json *require(const char *field, const std::string &form);
    std::int64_t checked(const char *field, const nlohmann::json *value, std::int64_t minimum,
                         std::int64_t maximum);
    Duration checkedDuration(const char *field, const nlohmann::json *value, Duration minimum,
                             Duration maximum);

    const nlohmann::json *m_json;
    std::string m_path;
    std::vector<DocumentProblem> *m_problems;
    std::set<std::string> m_readFields;
};

} // namespace Lavenderpick
