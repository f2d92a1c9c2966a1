#include "lavenderpick/Forward/ColdPeriod.h"

#include <algorithm>
#include <cmath>

namespace Lavenderpick {

namespace {

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

// The rate after s of d seconds is requestsPerSecond * (initialShare + (1 - initialShare) * s / d).
double ColdPeriod::allowedUpTo(TimePoint time) const
{
    const double whole = std::max(1e-3, inSeconds(until - from));
    const double elapsed = std::clamp(inSeconds(time - from), 0.0, whole);
    const double growth = (1 - initialShare) / (2 * whole);
    return requestsPerSecond * (initialShare * elapsed + growth * elapsed * elapsed);
}

TimePoint ColdPeriod::timeOf(double requests) const
{
    if (requestsPerSecond <= 0)
        return until;
    const double excess = requests - allowedUpTo(until);
    if (excess >= 0) {
        // A limit of less than one request in an hour counts as one.
        const std::chrono::duration<double> later(std::min(excess / requestsPerSecond, 3'600.0));
        return until + std::chrono::duration_cast<Duration>(later);
    }
    const double whole = std::max(1e-3, inSeconds(until - from));
    const double growth = (1 - initialShare) / (2 * whole);
    const double root = std::sqrt(initialShare * initialShare
                                  + 4 * growth * std::max(0.0, requests) / requestsPerSecond);
    const std::chrono::duration<double> elapsed((root - initialShare) / (2 * growth));
    return from + std::chrono::duration_cast<Duration>(elapsed);
}

} // namespace Lavenderpick
