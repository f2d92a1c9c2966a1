#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace Lavenderpick {

/// A task queue of cpp-httplib that starts threads on demand and bounds the waiting connections.
///
/// A connection over the bound can't be dropped, since its task owns the socket. It runs on one
/// extra thread on which `isOverloaded()` is true, so that the server refuses it at once. When that
/// thread is busy too, accepting pauses and the kernel's backlog is the last bound.
class BoundedTaskQueue final : public httplib::TaskQueue
{
public:
    BoundedTaskQueue(std::size_t maximumThreads, std::size_t maximumWaiting);
    ~BoundedTaskQueue() override;

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// Whether the current thread answers a connection over the bound.
    static bool isOverloaded();

private:
    using Task = std::function<void()>;

    void runWaiting();
    void runRefused();

    std::mutex m_mutex;
    std::condition_variable m_waitingChanged;
    std::condition_variable m_refusedChanged;
    std::deque<Task> m_waiting;
    std::deque<Task> m_refused;
    std::vector<std::thread> m_threads;
    std::size_t m_maximumThreads;
    std::size_t m_maximumWaiting;
    std::size_t m_busyThreads { 0 };
    bool m_stopping { false };
    std::thread m_refusingThread; // Last, since it uses the members above as soon as it starts.
};

} // namespace Lavenderpick
