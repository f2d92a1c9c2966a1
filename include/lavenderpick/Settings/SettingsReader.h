#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace YAML {
class Node;
}

namespace Lavenderpick {

class SettingsContext;

/// Inclusive bounds of a value.
template <typename Value>
struct Range
{
    Value minimum {};
    Value maximum { std::numeric_limits<Value>::max() };
};

template <>
struct Range<Duration>
{
    Duration minimum {};
    Duration maximum { Duration::max() };
};

/// One map of a settings file.
///
/// Readers never throw: a wrong value is noted as a problem and the fallback, or else the least
/// value of the range, is returned, so that one run reports every problem. A reader without a
/// fallback requires the key. Keys that nobody reads are reported as unknown.
class SettingsMap
{
public:
    std::string text(const std::string &key) const;
    std::string text(const std::string &key, const std::string &fallback) const;

    /// Text that is one of `choices`.
    std::string choice(const std::string &key, const std::vector<std::string> &choices) const;
    std::string choice(const std::string &key, const std::vector<std::string> &choices,
                       const std::string &fallback) const;

    std::int64_t integer(const std::string &key, Range<std::int64_t> range) const;
    std::int64_t integer(const std::string &key, Range<std::int64_t> range,
                         std::int64_t fallback) const;

    double number(const std::string &key, Range<double> range) const;
    double number(const std::string &key, Range<double> range, double fallback) const;

    bool flag(const std::string &key) const;
    bool flag(const std::string &key, bool fallback) const;

    /// A duration such as `250 ms`, `3 s`, `10 min`, `2 h` or `7 d`.
    Duration duration(const std::string &key, Range<Duration> range) const;
    Duration duration(const std::string &key, Range<Duration> range, Duration fallback) const;

    /// A size such as `64 KiB`, `16 MiB` or `2 GiB`, in bytes.
    std::int64_t bytes(const std::string &key, Range<std::int64_t> range) const;
    std::int64_t bytes(const std::string &key, Range<std::int64_t> range,
                       std::int64_t fallback) const;

    /// A list of texts; empty when the key is missing.
    std::vector<std::string> texts(const std::string &key) const;

    /// The nested map. When it is missing, reading it behaves as if it were empty.
    SettingsMap map(const std::string &key) const;

    /// A list of maps; empty when the key is missing.
    std::vector<SettingsMap> maps(const std::string &key) const;

    /// The members of a map whose keys are names that the operator chose.
    std::vector<std::pair<std::string, SettingsMap>> namedMaps(const std::string &key) const;

    bool has(const std::string &key) const;

    /// Adds a problem found by the owner of the settings, such as a reference to a name that does
    /// not exist.
    void addProblem(const std::string &key, const std::string &message,
                    const std::string &remedy) const;

private:
    friend class SettingsReader;
    friend class SettingsContext;
    struct State;

    SettingsMap(std::shared_ptr<SettingsContext> context, std::shared_ptr<State> state);

    SettingsMap child(const YAML::Node &node, const std::string &path) const;
    YAML::Node find(const std::string &key) const;
    std::string pathOf(const std::string &key) const;
    void wrong(const YAML::Node &node, const std::string &key, const std::string &message,
               const std::string &remedy) const;
    void missing(const std::string &key, const std::string &example) const;
    template <typename Value, typename Parse>
    Value read(const std::string &key, Range<Value> range, const Value *fallback,
               const std::string &form, Parse parse) const;

    std::shared_ptr<SettingsContext> m_context;
    std::shared_ptr<State> m_state;
};

/// A settings file in YAML, read whole.
///
/// The owner of each group of settings reads its map with a parse function; then `finish` reports
/// every problem of the file at once.
class SettingsReader
{
public:
    /// Throws `Error` of kind InvalidSettings when the file can't be read or is not YAML.
    static SettingsReader fromFile(const std::string &path);

    /// Like `fromFile`; `name` stands for the file in messages.
    static SettingsReader fromText(const std::string &text, const std::string &name);

    SettingsMap root() const;

    /// Throws `Error` of kind InvalidSettings that lists every problem with file, line and remedy,
    /// one a line. Call it after everything was read.
    void finish() const;

private:
    explicit SettingsReader(std::shared_ptr<SettingsContext> context);

    std::shared_ptr<SettingsContext> m_context;
};

} // namespace Lavenderpick
