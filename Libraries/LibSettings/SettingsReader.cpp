#include "lavenderpick/Settings/SettingsReader.h"

#include "SettingsContext.h"
#include "YamlText.h"

namespace Lavenderpick {

SettingsReader::SettingsReader(std::shared_ptr<SettingsContext> context)
    : m_context(std::move(context))
{ }

SettingsReader SettingsReader::fromFile(const std::string &path)
{
    return fromText(readSettingsText(path), path);
}

SettingsReader SettingsReader::fromText(const std::string &text, const std::string &name)
{
    const YAML::Node node = loadYaml(text, name);
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
