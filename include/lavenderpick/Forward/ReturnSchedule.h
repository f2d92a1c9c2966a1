#pragma once

#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Forward/RoomForecast.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace Lavenderpick {

/// When a rejected caller returns, and why then.
struct ScheduledReturn
{
    Duration after {};
    bool hasRoom { false }; ///< Capacity is forecast for it then.
    double roomNow { 0 };   ///< Requests of its size that could start now, by the forecast.
};

/// Gives rejected callers of one service return times at which capacity is forecast, one after the
/// other.
///
/// Load: callers that are rejected together and told the same time return together, find the same
/// queue and are rejected again. A gateway promises only its part of the forecast, since the others
/// promise theirs, and each promise takes its prefill time and memory from what is promised next. A
/// caller may return to any gateway, so promises are not recognized; one whose time has passed is
/// in the ledger or gone. Not safe for concurrent use.
class ReturnSchedule
{
public:
    explicit ReturnSchedule(Random &random)
        : m_random(random)
        , m_threshold(1 - random.unit())
    { }

    /// The mean number of gateways that use an engine, this one included.
    void setSharingGateways(double count) { m_sharingGateways = std::max(1.0, count); }

    /// Records a new request of this gateway. While as many arrive as in the last 2 s, they take
    /// the room that returning callers would find.
    void recordArrival(const RoomDemand &demand, double prefillMs, TimePoint now);

    /// Chooses when a rejected caller returns, at the latest after a third of `timeLeft`. Without
    /// room until then it is told that third, and nothing is promised.
    ScheduledReturn schedule(const RoomForecast &forecast, const RoomDemand &demand,
                             std::optional<Duration> timeLeft, TimePoint now);

    /// Number of promises whose time has not passed.
    std::size_t promised(TimePoint now);

private:
    struct Arrival
    {
        TimePoint at {};
        double tokens { 0 };
        double prefillMs { 0 };
    };
    struct Promise
    {
        TimePoint start {};
        TimePoint prefillDue {};
        TimePoint end {};
        double tokens { 0 };
        double prefillMs { 0 };
    };

    struct TakenRoom
    {
        double tokens { 0 };
        double slots { 0 };
        double prefillMs { 0 };
    };

    std::optional<Duration> findRoom(const RoomForecast &forecast, const RoomDemand &demand,
                                     const RoomForecast::Rooms &rooms, Duration earliest,
                                     Duration latest, TimePoint now);
    /// What the promises take from requests that start in each step of a forecast.
    std::vector<TakenRoom> takenRooms(const RoomDemand &demand, Duration duration,
                                      TimePoint madeAt) const;
    void expire(TimePoint now);

    Random &m_random;
    double m_sharingGateways { 1 };
    std::deque<Promise> m_promises;
    std::deque<Arrival> m_arrivals; ///< Of the last 2 s.
    double m_arrivedTokens { 0 };
    double m_arrivedPrefillMs { 0 };
    /// Share of a room above which the next promise is made. With fewer rooms than gateways, a
    /// gateway's part is a fraction of one; a random threshold that holds until the next promise
    /// makes the gateways together promise about as much as there is.
    double m_threshold;
};

} // namespace Lavenderpick
