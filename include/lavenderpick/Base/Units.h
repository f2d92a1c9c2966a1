#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderpick {

/// Reads a duration with its unit, such as `250 ms`, `3 s`, `10 min`, `2 h` or `7 d`; empty when
/// the text is not one or does not fit.
std::optional<Duration> parseDuration(std::string_view text);

/// Reads a size with its unit, such as `512 B`, `64 KiB`, `16 MiB` or `2 GiB`; empty when the text
/// is not one or does not fit.
std::optional<std::int64_t> parseBytes(std::string_view text);

/// Reads a decimal number of zero or more without a unit; empty when the text is not one.
std::optional<double> parseDecimal(std::string_view text);

/// Reads an integer without a unit; empty when the text is not one or does not fit.
std::optional<std::int64_t> parseInteger(std::string_view text);

/// Writes what `parseDuration` and `parseBytes` read, with the largest unit that keeps the value
/// whole. Durations are rounded down to milliseconds.
std::string formatDuration(Duration duration);
std::string formatBytes(std::int64_t bytes);

} // namespace Lavenderpick
