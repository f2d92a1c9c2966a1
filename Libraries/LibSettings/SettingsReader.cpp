#include "lavenderpick/Settings/SettingsReader.h"

#include "SettingsContext.h"
#include "lavenderpick/Base/Error.h"

#include <fstream>
#include <sstream>

namespace Lavenderpick {

namespace {

YAML::Node load(const std::string &text, const std::string &name)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &error) {
        throw Error(ErrorKind::InvalidSettings,
                    name + ":" + std::to_string(error.mark.line + 1) + ": The file is not YAML ("
                            + error.msg + ")",
                    "Check indentation, quotes and colons near this line.");
    }
}

} // namespace

SettingsReader::SettingsReader(std::shared_ptr<SettingsContext> context)
    : m_context(std::move(context))
{ }

SettingsReader SettingsReader::fromFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        throw Error(ErrorKind::InvalidSettings, path + ": The file can't be read or is empty",
                    "Check the path and the rights of the file.");
    return fromText(text.str(), path);
}

SettingsReader SettingsReader::fromText(const std::string &text, const std::string &name)
{
    const YAML::Node node = load(text, name);
    auto context = std::make_shared<SettingsContext>(name);
    context->openMap(node, "", 1);
    return SettingsReader(std::move(context));
}

SettingsMap SettingsReader::root() const
{
    return { m_context, m_context->rootMap() };
}

void SettingsReader::finish() const
{
    m_context->finish();
}

} // namespace Lavenderpick
