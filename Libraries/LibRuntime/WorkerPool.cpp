#include "lavenderpick/Runtime/WorkerPool.h"

#include "lavenderpick/Base/Log.h"

namespace Lavenderpick {

WorkerPool::WorkerPool(std::size_t threads, std::size_t maximumWaiting)
    : m_maximumWaiting(maximumWaiting)
{
    for (std::size_t thread = 0; thread < threads; ++thread)
        m_threads.emplace_back([this] { runTasks(); });
}

WorkerPool::~WorkerPool()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

bool WorkerPool::post(Task task)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping || m_waiting.size() >= m_maximumWaiting)
        return false;
    m_waiting.push_back(std::move(task));
    m_changed.notify_one();
    return true;
}

void WorkerPool::runTasks()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || !m_waiting.empty(); });
        if (m_stopping)
            return;
        const Task task = std::move(m_waiting.front());
        m_waiting.pop_front();
        lock.unlock();
        try {
            task();
        } catch (const std::exception &error) {
            log(LogLevel::Warning, "runtime", error.what());
        }
        lock.lock();
    }
}

} // namespace Lavenderpick
