#include "Services/Operator/OperatorSettings.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Settings/SettingsReader.h"

#include <fstream>

namespace Lavenderpick {

OperatorSettings OperatorSettings::parse(const SettingsMap &root)
{
    const SettingsMap platform = root.map("platform");
    return {
        .platformAddress = platform.text("address"),
        .timeout = platform.duration("timeout", { Milliseconds(10), Seconds(60) },
                                     OperatorSettings {}.timeout),
        .operatorKeyFile = root.map("operator").text("key_file", ""),
        .clusterKeyFile = root.map("cluster").text("key_file", ""),
    };
}

OperatorSettings OperatorSettings::fromFile(const std::string &path)
{
    const SettingsReader reader = SettingsReader::fromFile(path);
    OperatorSettings settings = parse(reader.root());
    reader.finish();
    return settings;
}

std::string readKeyFile(const std::string &path)
{
    std::ifstream file(path);
    std::string key;
    std::getline(file, key);
    if (!key.empty() && key.back() == '\r')
        key.pop_back();
    if (key.empty())
        throw Error(ErrorKind::InvalidSettings, "The key file '" + path + "' is missing or empty",
                    "Write the key into its first line.");
    return key;
}

} // namespace Lavenderpick
