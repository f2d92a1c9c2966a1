#include "BoundedTaskQueue.h"

namespace Lavenderpick {

namespace {

constexpr std::size_t maximumRefused = 16;
thread_local bool overloadedThread = false;

} // namespace

BoundedTaskQueue::BoundedTaskQueue(std::size_t maximumThreads, std::size_t maximumWaiting)
    : m_maximumThreads(maximumThreads)
    , m_maximumWaiting(maximumWaiting)
    , m_refusingThread([this] { runRefused(); })
{ }

BoundedTaskQueue::~BoundedTaskQueue()
{
    shutdown();
}

void BoundedTaskQueue::enqueue(std::function<void()> task)
{
    std::unique_lock lock(m_mutex);
    // Threads that are not started yet count as free, so that a small queue doesn't refuse too
    // early.
    const std::size_t freeThreads = m_maximumThreads - m_busyThreads;
    if (m_waiting.size() >= m_maximumWaiting + freeThreads) {
        m_refusedChanged.wait(lock,
                              [this] { return m_refused.size() < maximumRefused || m_stopping; });
        m_refused.push_back(std::move(task));
        m_refusedChanged.notify_all();
        return;
    }
    m_waiting.push_back(std::move(task));
    const std::size_t idleThreads = m_threads.size() - m_busyThreads;
    if (m_waiting.size() > idleThreads && m_threads.size() < m_maximumThreads)
        m_threads.emplace_back([this] { runWaiting(); });
    m_waitingChanged.notify_one();
}

void BoundedTaskQueue::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_waitingChanged.notify_all();
    m_refusedChanged.notify_all();
    for (std::thread &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
    if (m_refusingThread.joinable())
        m_refusingThread.join();
}

bool BoundedTaskQueue::isOverloaded()
{
    return overloadedThread;
}

void BoundedTaskQueue::runWaiting()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_waitingChanged.wait(lock, [this] { return !m_waiting.empty() || m_stopping; });
        if (m_waiting.empty())
            return;
        const Task task = std::move(m_waiting.front());
        m_waiting.pop_front();
        ++m_busyThreads;
        lock.unlock();
        task();
        lock.lock();
        --m_busyThreads;
    }
}

void BoundedTaskQueue::runRefused()
{
    overloadedThread = true;
    std::unique_lock lock(m_mutex);
    while (true) {
        m_refusedChanged.wait(lock, [this] { return !m_refused.empty() || m_stopping; });
        if (m_refused.empty())
            return;
        const Task task = std::move(m_refused.front());
        m_refused.pop_front();
        m_refusedChanged.notify_all();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace Lavenderpick
