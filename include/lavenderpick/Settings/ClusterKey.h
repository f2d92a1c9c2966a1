#pragma once

#include "lavenderpick/Settings/SettingsReader.h"

#include <string>

namespace Lavenderpick {

/// The key that the processes of a cluster share, from `key` or from the file that `key_file`
/// names. A missing or short key is noted as a problem of the map.
std::string readClusterKey(const SettingsMap &map);

} // namespace Lavenderpick
