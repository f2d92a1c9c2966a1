#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Lavenderpick {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Throws `Error` of kind InvalidSettings for another name than debug, info, warning or error.
LogLevel parseLogLevel(std::string_view name);

enum class LogOutput {
    StandardError,
    StandardOutput, ///< Bounded: lines over the budget, or that would block, are dropped and
                    ///< counted.
};

/// Sends JSON lines of at least `level` to `output`. `process` stands in every line.
void initializeLog(LogLevel level, const std::string &process,
                   LogOutput output = LogOutput::StandardError);

/// Writes one JSON line. `fields` is an object whose members are added to the line, such as
/// `request_id`; secrets and prompts must not be passed.
void log(LogLevel level, std::string_view component, std::string_view message);
void log(LogLevel level, std::string_view component, std::string_view message,
         const nlohmann::json &fields);

} // namespace Lavenderpick
