#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Random.h"

#include <optional>

namespace Lavenderpick {

/// Exponential backoff with full jitter: the delay is uniform between 0 and an upper bound that
/// doubles with each retry, so that callers that failed at the same time don't retry at the same
/// time.
class Backoff
{
public:
    explicit Backoff(Duration baseDelay = Milliseconds(25), Duration maximumDelay = Seconds(2));

    /// Returns the delay before a retry, or nothing when the delay and the attempt together exceed
    /// the `remaining` time. `retryIndex` counts from 0.
    std::optional<Duration> delay(int retryIndex, Duration remaining, Duration attemptDuration,
                                  Random &random) const;

private:
    Duration m_baseDelay;
    Duration m_maximumDelay;
};

} // namespace Lavenderpick
