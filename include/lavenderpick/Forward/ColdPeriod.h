#pragma once

#include "lavenderpick/Base/Clock.h"

namespace Lavenderpick {

/// The time for which an upstream is cold: it is slow, and too many requests a second make it
/// crash.
///
/// Load: an upstream that starts is empty, so that it looks best to every gateway in the same half
/// second. The allowed rate therefore rises over the period, from `initialShare` of
/// `requestsPerSecond` to all of it.
struct ColdPeriod
{
    static constexpr double initialShare = 0.25;

    TimePoint from {};
    TimePoint until {};
    double requestsPerSecond { 0 }; ///< Tolerated from all gateways together; zero for no limit.

    /// Requests that all gateways together may send from the beginning up to `time`.
    double allowedUpTo(TimePoint time) const;

    /// When `allowedUpTo` reaches this number, as if the last rate lasted beyond the end.
    TimePoint timeOf(double requests) const;

    bool operator==(const ColdPeriod &) const = default;
};

} // namespace Lavenderpick
