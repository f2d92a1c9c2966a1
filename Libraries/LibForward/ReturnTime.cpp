#include "lavenderpick/Forward/ReturnTime.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// Reading the configuration takes some tens of milliseconds.
constexpr Duration loadingTime { Milliseconds(300) };
// For callers that do not say how long they wait.
constexpr Duration defaultOutageTime { Seconds(2) };
constexpr int acceptedShareDivisor = 3;
// Callers that arrive together return over this share of the time.
constexpr double spread = 0.15;

} // namespace

Duration returnTime(MissingConfiguration cause, std::optional<Duration> timeLeft, Random &random)
{
    if (cause == MissingConfiguration::Loading)
        return loadingTime;
    const Duration longest = timeLeft ? *timeLeft / acceptedShareDivisor : defaultOutageTime;
    return std::max(loadingTime,
                    std::chrono::duration_cast<Duration>(longest * (1 - spread * random.unit())));
}

} // namespace Lavenderpick
