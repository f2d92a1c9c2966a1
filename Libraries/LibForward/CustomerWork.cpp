#include "lavenderpick/Forward/CustomerWork.h"

namespace Lavenderpick {

void CustomerWork::recordRequest(const std::string &customer, TimePoint now)
{
    add(customer, 0, now);
}

void CustomerWork::recordWork(const std::string &customer, double prefillMs, TimePoint now)
{
    add(customer, prefillMs, now);
}

double CustomerWork::shareUsed(const std::string &customer, TimePoint now)
{
    expire(now);
    const auto found = m_totals.find(customer);
    if (found == m_totals.end() || m_workMs <= 0)
        return 0;
    return found->second.workMs * static_cast<double>(m_totals.size()) / m_workMs;
}

void CustomerWork::add(const std::string &customer, double workMs, TimePoint now)
{
    expire(now);
    if (m_buckets.empty() || now - m_buckets.back().start >= bucketDuration)
        m_buckets.push_back({ .start = now, .workMs = {} });
    const auto [entry, isNew] = m_buckets.back().workMs.try_emplace(customer, 0);
    entry->second += workMs;
    Total &total = m_totals[customer];
    total.workMs += workMs;
    total.buckets += isNew ? 1 : 0;
    m_workMs += workMs;
}

void CustomerWork::expire(TimePoint now)
{
    while (!m_buckets.empty() && now - m_buckets.front().start >= window) {
        for (const auto &[customer, workMs] : m_buckets.front().workMs) {
            const auto total = m_totals.find(customer);
            total->second.workMs -= workMs;
            m_workMs -= workMs;
            if (--total->second.buckets == 0)
                m_totals.erase(total);
        }
        m_buckets.pop_front();
    }
    if (m_buckets.empty())
        m_workMs = 0; // Drops what rounding left.
}

} // namespace Lavenderpick
