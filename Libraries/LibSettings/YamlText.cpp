#include "YamlText.h"

#include "lavenderpick/Base/Error.h"

#include <fstream>
#include <sstream>

namespace Lavenderpick {

std::string readSettingsText(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        throw Error(ErrorKind::InvalidSettings, path + ": The file can't be read or is empty",
                    "Check the path and the rights of the file.");
    return text.str();
}

YAML::Node loadYaml(const std::string &text, const std::string &name)
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

} // namespace Lavenderpick
