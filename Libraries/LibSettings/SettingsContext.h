#pragma once

#include "lavenderpick/Settings/SettingsReader.h"

#include <memory>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace Lavenderpick {

struct SettingsMap::State
{
    YAML::Node node;                ///< Undefined when the map is missing.
    std::string path;               ///< Dotted keys from the root; empty for the root.
    int line { 0 };                 ///< Of the map, or of what surrounds a missing one.
    std::set<std::string> readKeys; ///< Keys that a reader asked for.
};

/// What the maps of one settings file share: its name and the problems found so far.
class SettingsContext
{
public:
    explicit SettingsContext(std::string fileName)
        : m_fileName(std::move(fileName))
    { }

    void addProblem(int line, const std::string &message, const std::string &remedy);

    /// Maps are remembered until the end of the reading to find the keys that nobody read; a path
    /// that is opened again gives the same map.
    std::shared_ptr<SettingsMap::State> openMap(const YAML::Node &node, const std::string &path,
                                                int fallbackLine);

    /// The map that was opened first.
    const std::shared_ptr<SettingsMap::State> &rootMap() const { return m_maps.front(); }

    /// Throws `Error` of kind InvalidSettings when there are problems.
    void finish();

private:
    void checkKeys(const SettingsMap::State &state);

    std::string m_fileName;
    std::vector<std::shared_ptr<SettingsMap::State>> m_maps;
    std::set<std::pair<int, std::string>> m_problems; ///< Line and message.
};

/// Line of a node, from 1; `fallback` for a missing node.
int lineOf(const YAML::Node &node, int fallback);

/// Dotted path of a key below `path`.
std::string joinPath(const std::string &path, const std::string &key);

} // namespace Lavenderpick
