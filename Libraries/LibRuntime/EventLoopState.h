#pragma once

#include "lavenderpick/Runtime/EventLoop.h"

#include <asio.hpp>
#include <atomic>
#include <mutex>
#include <vector>

namespace Lavenderpick {

struct EventLoop::State
{
    struct Timer
    {
        Period period;
        Handler handler;
        TimePoint due;
        bool onWorker { false };
        std::shared_ptr<std::atomic<bool>> running;
    };

    State(const Clock &clockToRead, Random &randomToUse, std::size_t workerCount)
        : clock(clockToRead)
        , random(randomToUse)
        , wakeUp(context)
        , signals(context)
        , workers(workerCount)
    { }

    void addTimer(const Period &period, Handler handler, bool onWorker);
    std::vector<Handler> takeDueHandlers();
    Handler workerHandler(Timer &timer);
    void waitForNextTimer();
    void waitForSignal(Handler handler);

    const Clock &clock;
    Random &random;
    asio::io_context context;
    asio::steady_timer wakeUp;
    asio::signal_set signals;
    asio::thread_pool workers;
    std::mutex mutex;
    std::vector<Timer> timers;
};

} // namespace Lavenderpick
