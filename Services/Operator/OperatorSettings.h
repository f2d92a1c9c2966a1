#pragma once

#include "lavenderpick/Base/Clock.h"

#include <string>

namespace Lavenderpick {

class SettingsMap;

/// Settings of the operator's tool.
struct OperatorSettings
{
    std::string platformAddress {};  ///< Host and port of the platform's services.
    Duration timeout { Seconds(2) }; ///< Of each request to the platform or a process.
    std::string operatorKeyFile {};  ///< File with `<operator>.<secret>`; empty: no edits.
    std::string clusterKeyFile {};   ///< Empty: processes are asked for public state only.

    bool operator==(const OperatorSettings &) const = default;

    static OperatorSettings parse(const SettingsMap &root);

    /// Throws `Error` of kind InvalidSettings that lists every problem.
    static OperatorSettings fromFile(const std::string &path);
};

/// The first line of a key file. Throws `Error` of kind InvalidSettings when it is missing or
/// empty.
std::string readKeyFile(const std::string &path);

} // namespace Lavenderpick
