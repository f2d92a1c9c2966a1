#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>

namespace Lavenderpick {

using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Duration = SteadyClock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// The source of time. Leases, deadlines and timers read it and never the system directly, so that
/// tests can pause and advance time.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time; comparable within one process only.
    virtual TimePoint now() const = 0;

    /// Seconds since the Unix epoch; used for records that outlive the process.
    virtual std::int64_t wallSeconds() const = 0;
};

/// The clock of the running system.
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    std::int64_t wallSeconds() const override;
};

/// A clock that stands still until it is advanced.
class ManualClock final : public Clock
{
public:
    TimePoint now() const override;
    std::int64_t wallSeconds() const override;

    void advance(Duration duration);

private:
    mutable std::mutex m_mutex;
    Duration m_elapsed { Seconds(1'000'000) };
};

/// The whole milliseconds in `duration`, rounded down.
std::int64_t toMilliseconds(Duration duration);

/// The milliseconds in `duration` with their fraction, and the duration of so many.
double inMilliseconds(Duration duration);
Duration fromMilliseconds(double milliseconds);

} // namespace Lavenderpick
