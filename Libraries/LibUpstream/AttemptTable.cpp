#include "lavenderpick/Upstream/AttemptTable.h"

#include <algorithm>

namespace Lavenderpick {

AttemptTable::AddResult AttemptTable::add(const std::string &attemptId, TimePoint deadline,
                                          TimePoint now)
{
    if (m_attempts.contains(attemptId))
        return AddResult::Duplicate;
    if (runningCount() >= m_limits.maximumAttempts)
        return AddResult::Full;
    m_attempts[attemptId] = { .deadline = deadline, .lastRead = now };
    return AddResult::Added;
}

void AttemptTable::readerConnected(const std::string &attemptId)
{
    const auto attempt = m_attempts.find(attemptId);
    if (attempt != m_attempts.end())
        ++attempt->second.readers;
}

void AttemptTable::readerLeft(const std::string &attemptId, TimePoint now)
{
    const auto attempt = m_attempts.find(attemptId);
    if (attempt == m_attempts.end())
        return;
    --attempt->second.readers;
    attempt->second.lastRead = now;
}

void AttemptTable::ended(const std::string &attemptId, TimePoint now)
{
    const auto attempt = m_attempts.find(attemptId);
    if (attempt == m_attempts.end() || attempt->second.hasEnded)
        return;
    attempt->second.hasEnded = true;
    attempt->second.endedAt = now;
}

void AttemptTable::delivered(const std::string &attemptId)
{
    const auto attempt = m_attempts.find(attemptId);
    if (attempt != m_attempts.end())
        attempt->second.isDelivered = true;
}

std::vector<AttemptTable::Expired> AttemptTable::expired(TimePoint now) const
{
    std::vector<Expired> expired;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt.hasEnded)
            continue;
        if (attempt.deadline <= now)
            expired.push_back({ id, AttemptExpiry::DeadlinePassed });
        else if (attempt.readers == 0 && attempt.lastRead + m_limits.abandonAfter <= now)
            expired.push_back({ id, AttemptExpiry::Abandoned });
    }
    return expired;
}

std::vector<std::string> AttemptTable::removeOld(TimePoint now)
{
    std::vector<std::string> removed;
    for (const auto &[id, attempt] : m_attempts) {
        const TimePoint since = std::max(attempt.endedAt, attempt.lastRead);
        if (attempt.hasEnded && attempt.readers == 0 && since + m_limits.keepEnded <= now)
            removed.push_back(id);
    }
    for (const std::string &id : removed)
        m_attempts.erase(id);
    return removed;
}

std::size_t AttemptTable::runningCount() const
{
    std::size_t count = 0;
    for (const auto &[id, attempt] : m_attempts)
        count += attempt.hasEnded ? 0 : 1;
    return count;
}

std::size_t AttemptTable::openCount(TimePoint now) const
{
    std::size_t count = 0;
    for (const auto &[id, attempt] : m_attempts) {
        const TimePoint since = std::max(attempt.endedAt, attempt.lastRead);
        const bool mayBeFetched = !attempt.isDelivered && since + m_limits.abandonAfter > now;
        count += !attempt.hasEnded || attempt.readers > 0 || mayBeFetched ? 1 : 0;
    }
    return count;
}

std::vector<std::string> AttemptTable::runningIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, attempt] : m_attempts) {
        if (!attempt.hasEnded)
            ids.push_back(id);
    }
    return ids;
}

} // namespace Lavenderpick
