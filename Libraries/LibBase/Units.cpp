#include "lavenderpick/Base/Units.h"

#include <array>
#include <charconv>
#include <cmath>

namespace Lavenderpick {

namespace {

struct Unit
{
    std::string_view name;
    std::int64_t factor;
};

// From large to small, so that formatting finds the largest unit first.
constexpr std::array durationUnits {
    Unit { "d", 86'400'000 }, Unit { "h", 3'600'000 }, Unit { "min", 60'000 },
    Unit { "s", 1'000 },      Unit { "ms", 1 },
};
constexpr std::array byteUnits {
    Unit { "GiB", std::int64_t { 1 } << 30 },
    Unit { "MiB", std::int64_t { 1 } << 20 },
    Unit { "KiB", std::int64_t { 1 } << 10 },
    Unit { "B", 1 },
};

// A century; keeps later sums of durations from overflowing.
constexpr std::int64_t maximumMilliseconds = 86'400'000LL * 36'500;

std::optional<std::int64_t> parseWithUnit(std::string_view text, const auto &units)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || number < 0)
        return std::nullopt;
    std::string_view name(position, static_cast<std::size_t>(end - position));
    if (!name.empty() && name.front() == ' ')
        name.remove_prefix(1);
    for (const Unit &unit : units) {
        if (unit.name == name)
            return number > INT64_MAX / unit.factor ? std::nullopt
                                                    : std::optional(number * unit.factor);
    }
    return std::nullopt;
}

std::string formatWithUnit(std::int64_t value, const auto &units)
{
    for (const Unit &unit : units) {
        if (value != 0 && value % unit.factor == 0)
            return std::to_string(value / unit.factor) + " " + std::string(unit.name);
    }
    return "0 " + std::string(units.back().name);
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto milliseconds = parseWithUnit(text, durationUnits);
    if (!milliseconds || *milliseconds > maximumMilliseconds)
        return std::nullopt;
    return Milliseconds(*milliseconds);
}

std::optional<std::int64_t> parseBytes(std::string_view text)
{
    return parseWithUnit(text, byteUnits);
}

std::optional<double> parseDecimal(std::string_view text)
{
    double value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(value) || value < 0)
        return std::nullopt;
    return value;
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

std::string formatDuration(Duration duration)
{
    return formatWithUnit(toMilliseconds(duration), durationUnits);
}

std::string formatBytes(std::int64_t bytes)
{
    return formatWithUnit(bytes, byteUnits);
}

} // namespace Lavenderpick
