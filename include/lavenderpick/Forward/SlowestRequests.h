#pragma once

#include "lavenderpick/Base/Clock.h"

#include <array>
#include <map>
#include <string>

namespace Lavenderpick {

/// The longest durations of recent attempts, by route. Not safe for concurrent use.
class SlowestRequests
{
public:
    /// Durations count for this long at least, and for twice as long at most.
    static constexpr Duration window { Seconds(30) };

    void record(const std::string &route, Duration duration, TimePoint now);

    /// Zero if no attempt of the route ended recently.
    Duration longest(const std::string &route, TimePoint now) const;

private:
    struct Route
    {
        std::array<Duration, 2> longest {}; ///< In the window before, and in this one.
        TimePoint windowStart {};
    };

    static Route advance(Route route, TimePoint now);

    std::map<std::string, Route> m_routes;
};

} // namespace Lavenderpick
