#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Random.h"

#include <functional>
#include <memory>
#include <string>

namespace Lavenderpick {

/// A period whose single waits vary, so that many processes do not act at the same instant.
struct Period
{
    Duration length { Seconds(1) };
    double jitter { 0.1 }; ///< Each wait is `length` times a factor from 1-jitter to 1+jitter.

    bool operator==(const Period &) const = default;

    /// The length of the next wait.
    Duration nextWait(Random &random) const;
};

/// An Asio loop for timers, datagrams and signals. Due times are read from `Clock`.
///
/// Handlers run on the thread in `run` and must not block; work that waits for a peer or the store
/// is started with `everyOnWorker` or `postToWorker`.
class EventLoop
{
public:
    using Handler = std::function<void()>;

    /// `workers` is the number of threads for blocking work. `clock` and `random` must outlive the
    /// loop; `random` must be safe for concurrent use unless only timers use it.
    EventLoop(const Clock &clock, Random &random, std::size_t workers = 4);
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Calls `handler` on the loop, first after one wait. May be called from any thread.
    void every(const Period &period, Handler handler);

    /// Like `every`, on a worker thread; a run that is still going on makes the next one wait.
    void everyOnWorker(const Period &period, Handler handler);

    /// Calls `handler` on the loop as soon as possible. May be called from any thread.
    void post(Handler handler);

    /// Calls `handler` on a worker thread. May be called from any thread.
    void postToWorker(Handler handler);

    /// Calls `handler` on the loop at the first SIGTERM or SIGINT. A second signal calls it again.
    void onTerminationSignal(Handler handler);

    /// Runs handlers until `stop`; then waits for the running worker tasks.
    void run();

    /// Ends `run`. May be called from any thread.
    void stop();

    /// Runs the timers that are due by the clock; `run` does so by itself. Tests that advance a
    /// `ManualClock` call it.
    void runDueTimers();

    /// The implementation, for `DatagramSocket`.
    struct State;
    const std::shared_ptr<State> &state() const { return m_state; }

private:
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderpick
