#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstddef>

namespace Lavenderpick {

constexpr Duration minimumReportInterval = Seconds(1);
constexpr Duration maximumReportInterval = Seconds(8);

/// An agent repeats an unchanged report after this time, or after the interval asked for if that
/// is longer.
constexpr Duration reportHeartbeatInterval = Seconds(4);

/// How often each of the watched agents may report, so that all reports together stay within the
/// control budget of the entry that watches them.
Duration reportIntervalFor(std::size_t watchedAgents);

} // namespace Lavenderpick
