#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Random.h"

#include <optional>

namespace Lavenderpick {

/// Exponential backoff with full jitter: the delay is uniform between 0 and the bound of the
/// attempt, so that callers which failed together do not return together.
class Backoff
{
public:
    explicit Backoff(Duration baseDelay = Milliseconds(25), Duration maximumDelay = Seconds(2));

    /// Delay before retry number `retry` (from 0), or nothing when the retry could not be done
    /// within `remaining`, of which the attempt itself needs `needed`.
    std::optional<Duration> delay(int retryIndex, Duration remaining, Duration attemptDuration,
                                  Random &random) const;

private:
    Duration m_baseDelay;
    Duration m_maximumDelay;
};

} // namespace Lavenderpick
