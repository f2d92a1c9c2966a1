#include "lavenderpick/Retry/Backoff.h"

#include <algorithm>

namespace Lavenderpick {

Backoff::Backoff(Duration baseDelay, Duration maximumDelay)
    : m_baseDelay(baseDelay)
    , m_maximumDelay(maximumDelay)
{ }

std::optional<Duration> Backoff::delay(int retryIndex, Duration remaining, Duration attemptDuration,
                                       Random &random) const
{
    constexpr int maximumDoublings = 20; // Keeps the shift in range for any retry index.
    const Duration upperBound = std::min(
            m_maximumDelay, m_baseDelay * (1 << std::clamp(retryIndex, 0, maximumDoublings)));
    const auto delay = std::chrono::duration_cast<Duration>(upperBound * random.unit());
    if (delay + attemptDuration > remaining)
        return std::nullopt;
    return delay;
}

} // namespace Lavenderpick
