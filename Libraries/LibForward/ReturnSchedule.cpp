#include "lavenderpick/Forward/ReturnSchedule.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// Covers a round trip of the caller and some passes of an engine.
constexpr Duration earliestReturn { Milliseconds(300) };
// Callers honour return times up to this share of their remaining time.
constexpr int acceptedShareDivisor = 3;
// The caller's remaining time is shorter when it reads the refusal, and the time is rounded.
constexpr Duration deliveryTime { Milliseconds(30) };
// Callers that are told the third of their time return over this share of it.
constexpr double spread = 0.1;
constexpr Duration arrivalWindow { Seconds(2) };

} // namespace

ScheduledReturn ReturnSchedule::schedule(const RoomForecast &forecast, const RoomDemand &demand,
                                         std::optional<Duration> timeLeft, TimePoint now)
{
    expire(now);
    const RoomForecast::Rooms rooms = forecast.rooms(demand);
    const Duration latest = timeLeft
            ? std::max(Duration {}, *timeLeft / acceptedShareDivisor - deliveryTime)
            : Duration(RoomForecast::horizon);
    if (const auto after = findRoom(forecast, demand, rooms, earliestReturn, latest, now))
        return { .after = *after, .hasRoom = true, .roomNow = rooms.front().count() };
    return { .after = fromMilliseconds(inMilliseconds(latest) * (1 - spread * m_random.unit())),
             .hasRoom = false,
             .roomNow = rooms.front().count() };
}

std::size_t ReturnSchedule::promised(TimePoint now)
{
    expire(now);
    return m_promises.size();
}

std::optional<Duration> ReturnSchedule::findRoom(const RoomForecast &forecast,
                                                 const RoomDemand &demand,
                                                 const RoomForecast::Rooms &rooms,
                                                 Duration earliest, Duration latest, TimePoint now)
{
    const Duration duration = forecast.duration(demand);
    const std::vector<TakenRoom> taken = takenRooms(demand, duration, forecast.madeAt());
    const double tokens = std::max(
            1.0, static_cast<double>(demand.size.promptTokens + demand.size.maximumOutputTokens));
    const double prefillMs = std::max(0.001, forecast.prefillTimeMs(demand));
    const Duration age = now - forecast.madeAt();
    for (std::size_t index = 0; index < RoomForecast::steps; ++index) {
        const Duration stepStart = index * RoomForecast::step - age;
        if (stepStart < earliest)
            continue;
        if (stepStart > latest)
            break;
        // Arrivals hold their memory for about the time that this request does. Those that arrive
        // until its first event is due are prefilled beside it.
        const double arrivedTokens = m_arrivedTokens * inMilliseconds(std::min(stepStart, duration))
                / inMilliseconds(arrivalWindow);
        const double arrivedMs = m_arrivedPrefillMs * inMilliseconds(demand.objective)
                / inMilliseconds(arrivalWindow);
        const RoomForecast::Room &room = rooms[index];
        const double unpromised =
                std::min({ room.byMemory / m_sharingGateways
                                   - (taken[index].tokens + arrivedTokens) / tokens,
                           room.bySlots / m_sharingGateways - taken[index].slots,
                           room.byPrefill / m_sharingGateways
                                   - (taken[index].prefillMs + arrivedMs) / prefillMs });
        if (unpromised < m_threshold)
            continue;
        // Returns within one step are spread over it.
        const Duration after = std::min<Duration>(
                latest,
                stepStart
                        + fromMilliseconds(static_cast<double>(RoomForecast::step.count())
                                           * m_random.unit()));
        const TimePoint start = now + after;
        m_promises.push_back({ .start = start,
                               .prefillDue = start + demand.objective,
                               .end = start + duration,
                               .tokens = tokens,
                               .prefillMs = prefillMs });
        m_threshold = 1 - m_random.unit();
        return after;
    }
    return std::nullopt;
}

std::vector<ReturnSchedule::TakenRoom>
ReturnSchedule::takenRooms(const RoomDemand &demand, Duration duration, TimePoint madeAt) const
{
    // A request that starts after `from` and before `until` overlaps with the promise. The
    // differences between steps are summed up, so that the cost is linear in the promises.
    std::vector<TakenRoom> taken(RoomForecast::steps + 1);
    const auto firstStepFrom = [madeAt](TimePoint time) {
        const std::int64_t index = (time - madeAt) / RoomForecast::step + 1;
        return time < madeAt ? 0 : std::min<std::size_t>(index, RoomForecast::steps);
    };
    for (const Promise &promise : m_promises) {
        const std::size_t from = firstStepFrom(promise.start - duration);
        const std::size_t until = firstStepFrom(promise.end);
        taken[from].tokens += promise.tokens;
        taken[from].slots += 1;
        taken[until].tokens -= promise.tokens;
        taken[until].slots -= 1;
        taken[firstStepFrom(promise.start - demand.objective)].prefillMs += promise.prefillMs;
        taken[firstStepFrom(promise.prefillDue)].prefillMs -= promise.prefillMs;
    }
    for (std::size_t index = 1; index < taken.size(); ++index) {
        taken[index].tokens += taken[index - 1].tokens;
        taken[index].slots += taken[index - 1].slots;
        taken[index].prefillMs += taken[index - 1].prefillMs;
    }
    return taken;
}

void ReturnSchedule::recordArrival(const RoomDemand &demand, double prefillMs, TimePoint now)
{
    const auto tokens =
            static_cast<double>(demand.size.promptTokens + demand.size.maximumOutputTokens);
    m_arrivals.push_back({ .at = now, .tokens = tokens, .prefillMs = prefillMs });
    m_arrivedTokens += tokens;
    m_arrivedPrefillMs += prefillMs;
    expire(now);
}

void ReturnSchedule::expire(TimePoint now)
{
    while (!m_arrivals.empty() && now - m_arrivals.front().at >= arrivalWindow) {
        m_arrivedTokens -= m_arrivals.front().tokens;
        m_arrivedPrefillMs -= m_arrivals.front().prefillMs;
        m_arrivals.pop_front();
    }
    std::erase_if(m_promises, [now](const Promise &promise) { return promise.start <= now; });
}

} // namespace Lavenderpick
