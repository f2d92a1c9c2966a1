#include "BoundedTaskQueue.h"

namespace Lavenderpick {

namespace {

constexpr std::size_t maximumRefused = 16;
thread_local bool overloadedThread = false;

} // namespace

BoundedTaskQueue::BoundedTaskQueue(std::size_t maximumThreads, std::size_t maximumWaiting)
    : m_maximumThreads(maximumThreads)
    , m_maximumWaiting(maximumWaiting)
{
    m_threads.emplace_back([this] { runTasks(m_refused, true); });
}

BoundedTaskQueue::~BoundedTaskQueue()
{
    shutdown();
}

void BoundedTaskQueue::enqueue(std::function<void()> task)
{
    std::unique_lock lock(m_mutex);
    if (m_waiting.size() >= m_maximumWaiting + m_idleThreads) {
        m_changed.wait(lock, [this] { return m_refused.size() < maximumRefused || m_stopping; });
        m_refused.push_back(std::move(task));
        m_changed.notify_all();
        return;
    }
    m_waiting.push_back(std::move(task));
    const bool needsThread =
            m_waiting.size() > m_idleThreads && m_threads.size() <= m_maximumThreads;
    if (needsThread)
        m_threads.emplace_back([this] { runTasks(m_waiting, false); });
    m_changed.notify_all();
}

void BoundedTaskQueue::shutdown()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    m_changed.notify_all();
    for (std::thread &thread : threads)
        thread.join();
}

bool BoundedTaskQueue::isOverloaded()
{
    return overloadedThread;
}

void BoundedTaskQueue::runTasks(Tasks &tasks, bool overloaded)
{
    overloadedThread = overloaded;
    std::unique_lock lock(m_mutex);
    while (true) {
        if (!overloaded)
            ++m_idleThreads;
        m_changed.wait(lock, [&] { return !tasks.empty() || m_stopping; });
        if (!overloaded)
            --m_idleThreads;
        if (tasks.empty())
            return;
        const std::function<void()> task = std::move(tasks.front());
        tasks.pop_front();
        m_changed.notify_all();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace Lavenderpick
