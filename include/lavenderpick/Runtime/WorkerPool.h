#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Lavenderpick {

/// Threads for tasks that may block and may be dropped, with a bounded queue. Safe for concurrent
/// use.
class WorkerPool
{
public:
    using Task = std::function<void()>;

    WorkerPool(std::size_t threads, std::size_t maximumWaiting);

    /// Drops the waiting tasks and waits for the running ones.
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Returns false, and drops the task, when the queue is full. An exception of a task is logged.
    bool post(Task task);

private:
    void runTasks();

    std::size_t m_maximumWaiting;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Task> m_waiting;
    bool m_stopping { false };
    std::vector<std::thread> m_threads;
};

} // namespace Lavenderpick
