#include "lavenderpick/Settings/ClusterKey.h"

#include <fstream>
#include <iterator>

namespace Lavenderpick {

namespace {

constexpr std::size_t shortestKey = 16;

std::string readKeyFile(const SettingsMap &map, const std::string &path)
{
    std::ifstream file(path);
    std::string key { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    if (key.empty())
        map.addProblem("key_file", "The file '" + path + "' is missing or empty",
                       "Write the cluster key into it.");
    return key;
}

} // namespace

std::string readClusterKey(const SettingsMap &map)
{
    const bool fromFile = map.has("key_file");
    std::string key = fromFile ? readKeyFile(map, map.text("key_file")) : map.text("key");
    if (!key.empty() && key.size() < shortestKey)
        map.addProblem(fromFile ? "key_file" : "key", "The cluster key is too short",
                       "Use at least 16 bytes.");
    return key;
}

} // namespace Lavenderpick
