#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstddef>

namespace Lavenderpick {

constexpr Duration minimumReportInterval = Seconds(1);
constexpr Duration maximumReportInterval = Seconds(8);

/// An agent repeats an unchanged report after this time, or after the requested report interval if
/// that is longer.
constexpr Duration reportHeartbeatInterval = Seconds(4);

/// Shortest time between two reports of each watched agent, chosen so that all reports together
/// stay within the control traffic budget of the entry that watches them. Limited to the range from
/// `minimumReportInterval` to `maximumReportInterval`.
Duration reportIntervalFor(std::size_t watchedAgents);

} // namespace Lavenderpick
