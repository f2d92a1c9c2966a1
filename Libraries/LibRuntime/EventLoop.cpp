#include "lavenderpick/Runtime/EventLoop.h"

#include "EventLoopState.h"
#include "lavenderpick/Base/Log.h"

#include <algorithm>
#include <csignal>

namespace Lavenderpick {

namespace {

// Bounds the sleep, so that a clock that is advanced by hand is noticed.
constexpr Milliseconds longestSleep { 100 };
constexpr Milliseconds shortestSleep { 1 };

// A failing periodic task must not end the process, since its next run may succeed.
void runLogged(const EventLoop::Handler &handler)
{
    try {
        handler();
    } catch (const std::exception &error) {
        log(LogLevel::Warning, "runtime", error.what());
    }
}

} // namespace

Duration Period::nextWait(Random &random) const
{
    const double factor = 1.0 - jitter + 2.0 * jitter * random.unit();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(length) * factor);
}

void EventLoop::State::addTimer(const Period &period, Handler handler, bool onWorker)
{
    const std::lock_guard lock(mutex);
    timers.push_back({ .period = period,
                       .handler = std::move(handler),
                       .due = clock.now() + period.nextWait(random),
                       .onWorker = onWorker,
                       .running = std::make_shared<std::atomic<bool>>(false) });
}

EventLoop::Handler EventLoop::State::workerHandler(Timer &timer)
{
    if (timer.running->exchange(true))
        return nullptr;
    return [this, handler = timer.handler, running = timer.running] {
        asio::post(workers, [handler, running] {
            runLogged(handler);
            running->store(false);
        });
    };
}

std::vector<EventLoop::Handler> EventLoop::State::takeDueHandlers()
{
    std::vector<Handler> due;
    const std::lock_guard lock(mutex);
    const TimePoint now = clock.now();
    for (Timer &timer : timers) {
        if (timer.due > now)
            continue;
        timer.due = now + timer.period.nextWait(random);
        Handler handler = timer.onWorker ? workerHandler(timer) : timer.handler;
        if (handler)
            due.push_back(std::move(handler));
    }
    return due;
}

void EventLoop::State::waitForNextTimer()
{
    Duration sleep = longestSleep;
    {
        const std::lock_guard lock(mutex);
        for (const Timer &timer : timers)
            sleep = std::min(sleep, timer.due - clock.now());
    }
    wakeUp.expires_after(std::max<Duration>(sleep, shortestSleep));
    wakeUp.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        for (const Handler &handler : takeDueHandlers())
            runLogged(handler);
        waitForNextTimer();
    });
}

void EventLoop::State::waitForSignal(Handler handler)
{
    signals.async_wait([this, handler](const asio::error_code &error, int) {
        if (error)
            return;
        runLogged(handler);
        waitForSignal(handler);
    });
}

EventLoop::EventLoop(const Clock &clock, Random &random, std::size_t workers)
    : m_state(std::make_shared<State>(clock, random, workers))
{ }

EventLoop::~EventLoop()
{
    m_state->context.stop();
    m_state->workers.stop();
    m_state->workers.join();
}

void EventLoop::every(const Period &period, Handler handler)
{
    m_state->addTimer(period, std::move(handler), false);
}

void EventLoop::everyOnWorker(const Period &period, Handler handler)
{
    m_state->addTimer(period, std::move(handler), true);
}

void EventLoop::post(Handler handler)
{
    asio::post(m_state->context, [handler = std::move(handler)] { runLogged(handler); });
}

void EventLoop::postToWorker(Handler handler)
{
    asio::post(m_state->workers, [handler = std::move(handler)] { runLogged(handler); });
}

void EventLoop::onTerminationSignal(Handler handler)
{
    m_state->signals.add(SIGTERM);
    m_state->signals.add(SIGINT);
    m_state->waitForSignal(std::move(handler));
}

void EventLoop::run()
{
    const auto guard = asio::make_work_guard(m_state->context);
    m_state->waitForNextTimer();
    m_state->context.run();
    m_state->workers.stop();
    m_state->workers.join();
}

void EventLoop::stop()
{
    m_state->context.stop();
}

void EventLoop::runDueTimers()
{
    for (const Handler &handler : m_state->takeDueHandlers())
        runLogged(handler);
}

} // namespace Lavenderpick
