#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstddef>

namespace Lavenderpick {

constexpr Duration shortestReportInterval = Seconds(1);
constexpr Duration longestReportInterval = Seconds(8);

/// How often each of the watched agents may report, so that all reports together stay within the
/// control budget of the entry that watches them.
Duration reportIntervalFor(std::size_t watchedAgents);

} // namespace Lavenderpick
