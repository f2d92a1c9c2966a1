#include "lavenderpick/Base/Clock.h"

namespace Lavenderpick {

TimePoint SystemClock::now() const
{
    return SteadyClock::now();
}

std::int64_t SystemClock::wallSeconds() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Seconds>(sinceEpoch).count();
}

TimePoint ManualClock::now() const
{
    const std::lock_guard lock(m_mutex);
    return TimePoint(m_elapsed);
}

std::int64_t ManualClock::wallSeconds() const
{
    const std::lock_guard lock(m_mutex);
    return std::chrono::duration_cast<Seconds>(m_elapsed).count();
}

void ManualClock::advance(Duration duration)
{
    const std::lock_guard lock(m_mutex);
    m_elapsed += duration;
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::floor<Milliseconds>(duration).count();
}

double inMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace Lavenderpick
