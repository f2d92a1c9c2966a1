#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Metrics.h"

#include <asio.hpp>
#include <cstdint>
#include <string_view>

namespace Lavenderpick {

/// Reports slow turns of an event loop with the activity that was running: work that takes long, or
/// a machine that doesn't run this process, delays the events of all callers. Each io_context has
/// one instance, which measures nothing until `watch` is called.
class EventLoopTurns : public asio::execution_context::service
{
public:
    /// Shorter turns are not recorded, so that a turn costs two readings of the clock.
    static constexpr Duration recordedTurn { Milliseconds(20) };
    static constexpr Duration loggedTurn { Milliseconds(100) };
    static constexpr Duration logInterval { Seconds(1) };

    static asio::execution_context::id id;

    explicit EventLoopTurns(asio::execution_context &context);

    static EventLoopTurns &of(asio::io_context &context);

    /// Measures from now on. Both must live until `unwatch`.
    void watch(const Clock &clock, Metrics &metrics);
    void unwatch();

    /// Marks the running handler's activity as long as it lives. Within another activity, the turn
    /// is counted as the inner one.
    class Activity
    {
    public:
        /// `name` must be a literal.
        Activity(EventLoopTurns &turns, std::string_view name)
            : m_turns(turns)
        {
            m_turns.begin(name);
        }
        ~Activity() { m_turns.end(); }
        Activity(const Activity &) = delete;
        Activity &operator=(const Activity &) = delete;

    private:
        EventLoopTurns &m_turns;
    };

private:
    void shutdown() override { }
    void begin(std::string_view activity);
    void end();
    void record(Duration turn, TimePoint now);

    const Clock *m_clock { nullptr };
    Metrics *m_metrics { nullptr };
    std::string_view m_activity;
    TimePoint m_startedAt {};
    int m_depth { 0 };
    TimePoint m_nextLogAt {};
    std::uint64_t m_turnsNotLogged { 0 };
};

} // namespace Lavenderpick
