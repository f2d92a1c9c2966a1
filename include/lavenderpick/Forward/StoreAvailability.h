#pragma once

#include "lavenderpick/Base/Clock.h"

#include <optional>

namespace Lavenderpick {

/// Whether entries of the store may have expired because the store was away, as far as this gateway
/// knows. Not safe for concurrent use.
///
/// What counts is when the store is known to have responded to any gateway: to this one, or to a
/// peer that reported it. A gateway that alone could not reach the store, but heard peers that
/// could, saw no outage. Time in which this process did not run, because it was stopped or starved
/// of processor time, is no outage either: responses to it and reports of peers waited in buffers.
class StoreAvailability
{
public:
    /// Expired entries are documented to be registered again within about two seconds.
    static constexpr Duration recoveryGracePeriod { Milliseconds(2'000) };

    /// Upstreams report every 1.2 s, and their entries expire after three reports are missing. A
    /// shorter outage makes no live upstream miss three.
    static constexpr Duration shortestExpiry { Milliseconds(2'400) };

    /// The same if this gateway's calls failed meanwhile: reports may have been lost before.
    static constexpr Duration shortestExpiryWithFailures { Milliseconds(1'000) };

    /// Records that this gateway's call to the store failed.
    void recordFailure() { m_failed = true; }

    /// Records that the store responded at `at`. Older times than the newest one say nothing new.
    void recordResponse(TimePoint at);

    /// Call at least every 100 ms, so that pauses of this process are noticed.
    void recordCheck(TimePoint now);

    /// Whether an entry that is missing now may have expired although its upstream is alive.
    bool mayHaveExpired(TimePoint now) const;

    /// When `mayHaveExpired` ends, if the store stays available.
    TimePoint gracePeriodEnd() const { return m_gracePeriodEnd; }

private:
    /// Checks that are further apart show that this process did not run in between. Several times
    /// the distance of checks, since the timers of a busy process are late.
    static constexpr Duration longestCheckDelay { Milliseconds(250) };

    /// The time between the last check and `now` in which the process did not run.
    Duration pauseBefore(TimePoint now) const;
    /// The time from the last response to `at` in which the process ran.
    Duration silenceUntil(TimePoint at) const;

    Duration longestHarmlessGap() const
    {
        return m_failed ? shortestExpiryWithFailures : shortestExpiry;
    }

    std::optional<TimePoint> m_respondedAt;
    std::optional<TimePoint> m_checkedAt;
    Duration m_pausedSinceResponse {}; ///< Up to the last check.
    TimePoint m_pauseEndedAt {};       ///< Of the last pause.
    TimePoint m_gracePeriodEnd {};
    TimePoint m_gracePeriodLimit {};
    bool m_failed { false }; ///< Since the last response to any gateway.
};

} // namespace Lavenderpick
