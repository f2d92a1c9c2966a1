#include "lavenderpick/Records/OutcomeBacklog.h"

namespace Lavenderpick {

namespace {

constexpr std::size_t fixedBytes = 1024; // Strings and containers around an outcome's body.

std::size_t bytesOf(const CallExecution &execution)
{
    return fixedBytes + 2 * execution.answer().body.size(); // Answer and record hold a copy each.
}

} // namespace

OutcomeBacklog::OutcomeBacklog(std::size_t maximumBytes)
    : m_maximumBytes(maximumBytes)
{ }

bool OutcomeBacklog::add(const CallExecution &execution)
{
    const std::size_t bytes = bytesOf(execution);
    const std::lock_guard lock(m_mutex);
    if (m_bytes + bytes > m_maximumBytes)
        return false;
    m_bytes += bytes;
    m_outcomes.push_back(execution);
    return true;
}

std::size_t OutcomeBacklog::drain(const std::function<bool(CallExecution &)> &record)
{
    const std::lock_guard drainLock(m_drainMutex);
    for (std::size_t remaining = size(); remaining > 0; --remaining) {
        std::unique_lock lock(m_mutex);
        CallExecution execution = m_outcomes.front();
        lock.unlock();
        if (!record(execution))
            break;
        lock.lock();
        m_bytes -= bytesOf(m_outcomes.front());
        m_outcomes.pop_front();
    }
    return size();
}

std::size_t OutcomeBacklog::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_outcomes.size();
}

} // namespace Lavenderpick
