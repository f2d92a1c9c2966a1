#include "Services/Gateway/EventLoopTurns.h"

#include "lavenderpick/Base/Log.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace Lavenderpick {

asio::execution_context::id EventLoopTurns::id;

EventLoopTurns::EventLoopTurns(asio::execution_context &context)
    : asio::execution_context::service(context)
{ }

EventLoopTurns &EventLoopTurns::of(asio::io_context &context)
{
    return asio::use_service<EventLoopTurns>(context);
}

void EventLoopTurns::watch(const Clock &clock, Metrics &metrics)
{
    m_clock = &clock;
    m_metrics = &metrics;
}

void EventLoopTurns::unwatch()
{
    m_clock = nullptr;
    m_metrics = nullptr;
}

void EventLoopTurns::begin(std::string_view activity)
{
    m_activity = activity;
    if (m_depth++ == 0 && m_clock != nullptr)
        m_startedAt = m_clock->now();
}

void EventLoopTurns::end()
{
    if (--m_depth > 0 || m_clock == nullptr || m_startedAt == TimePoint {})
        return;
    const TimePoint now = m_clock->now();
    const Duration turn = now - std::exchange(m_startedAt, {});
    if (turn > recordedTurn)
        record(turn, now);
}

void EventLoopTurns::record(Duration turn, TimePoint now)
{
    m_metrics->observeLatency("lavenderpick_event_loop_turn_seconds",
                              "activity=\"" + std::string(m_activity) + "\"", turn);
    if (turn <= loggedTurn)
        return;
    if (now < m_nextLogAt) {
        ++m_turnsNotLogged;
        return;
    }
    m_nextLogAt = now + logInterval;
    log(LogLevel::Warning, "gateway", "slow turn of the event loop",
        { { "activity", m_activity },
          { "turn_ms", toMilliseconds(turn) },
          { "not_logged", std::exchange(m_turnsNotLogged, 0) } });
}

} // namespace Lavenderpick
