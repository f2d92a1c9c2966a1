#include "lavenderpick/Retry/Backoff.h"

#include <algorithm>

namespace Lavenderpick {

Backoff::Backoff(Duration first, Duration maximum)
    : m_first(first)
    , m_maximum(maximum)
{ }

std::optional<Duration> Backoff::delay(int retry, Duration remaining, Duration needed,
                                       Random &random) const
{
    constexpr int maximumDoublings = 20; // Keeps the shift defined for any retry number.
    const Duration bound =
            std::min(m_maximum, m_first * (1 << std::clamp(retry, 0, maximumDoublings)));
    const auto delay = std::chrono::duration_cast<Duration>(bound * random.unit());
    if (delay + needed > remaining)
        return std::nullopt;
    return delay;
}

} // namespace Lavenderpick
