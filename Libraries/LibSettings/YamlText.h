#pragma once

#include <string>
#include <yaml-cpp/yaml.h>

namespace Lavenderpick {

/// The bytes of a file; throws `Error` of kind InvalidSettings when it can't be read or is empty.
std::string readSettingsText(const std::string &path);

/// Parses YAML; throws `Error` of kind InvalidSettings that names file and line.
YAML::Node loadYaml(const std::string &text, const std::string &name);

} // namespace Lavenderpick
