#include "lavenderpick/Forward/SlowestRequests.h"

#include <algorithm>

namespace Lavenderpick {

SlowestRequests::Route SlowestRequests::advance(Route route, TimePoint now)
{
    if (now - route.windowStart >= 2 * window)
        return { .windowStart = now };
    if (now - route.windowStart >= window)
        return { .longest = { route.longest[1], Duration {} },
                 .windowStart = route.windowStart + window };
    return route;
}

void SlowestRequests::record(const std::string &route, Duration duration, TimePoint now)
{
    Route &entry = m_routes[route];
    entry = advance(entry, now);
    entry.longest[1] = std::max(entry.longest[1], duration);
}

Duration SlowestRequests::longest(const std::string &route, TimePoint now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return {};
    const Route current = advance(found->second, now);
    return std::max(current.longest[0], current.longest[1]);
}

} // namespace Lavenderpick
