#include "SettingsContext.h"

#include "lavenderpick/Base/Error.h"

namespace Lavenderpick {

int lineOf(const YAML::Node &node, int fallback)
{
    return node.IsDefined() && node.Mark().line >= 0 ? node.Mark().line + 1 : fallback;
}

std::string joinPath(const std::string &path, const std::string &key)
{
    return path.empty() ? key : path + "." + key;
}

void SettingsContext::addProblem(int line, const std::string &message, const std::string &remedy)
{
    m_problems.insert(
            { line, m_fileName + ":" + std::to_string(line) + ": " + message + ". " + remedy });
}

std::shared_ptr<SettingsMap::State>
SettingsContext::openMap(const YAML::Node &node, const std::string &path, int fallbackLine)
{
    for (const auto &known : m_maps) {
        if (known->path == path)
            return known;
    }
    auto state = std::make_shared<SettingsMap::State>();
    state->path = path;
    state->line = lineOf(node, fallbackLine);
    const bool absent = !node.IsDefined() || node.IsNull();
    if (absent || node.IsMap())
        state->node.reset(absent ? YAML::Node(YAML::NodeType::Map) : node);
    else
        addProblem(state->line, (path.empty() ? "The file" : "'" + path + "'") + " must be a map",
                   "Write keys and values, such as 'port: 7000'.");
    m_maps.push_back(state);
    return state;
}

void SettingsContext::finish()
{
    for (const auto &state : m_maps)
        checkKeys(*state);
    if (m_problems.empty())
        return;
    std::string list = std::to_string(m_problems.size()) + " problem(s) in the settings";
    for (const auto &[line, text] : m_problems)
        list += "\n" + text;
    list.pop_back(); // Error adds the full stop.
    throw Error(ErrorKind::InvalidSettings, list, "Correct the file and start again.");
}

void SettingsContext::checkKeys(const SettingsMap::State &state)
{
    if (!state.node.IsMap())
        return;
    std::set<std::string> seen;
    for (const auto &member : state.node) {
        const std::string key = member.first.IsScalar() ? member.first.Scalar() : "?";
        const int line = lineOf(member.first, state.line);
        if (!seen.insert(key).second)
            addProblem(line, "'" + joinPath(state.path, key) + "' stands twice", "Keep one.");
        if (state.readKeys.contains(key))
            continue;
        std::string known;
        for (const std::string &name : state.readKeys)
            known += (known.empty() ? "" : ", ") + name;
        addProblem(line, "'" + joinPath(state.path, key) + "' is unknown",
                   known.empty() ? "Remove it." : "Remove it or use one of: " + known + ".");
    }
}

} // namespace Lavenderpick
