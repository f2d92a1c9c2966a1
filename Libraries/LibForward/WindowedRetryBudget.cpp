#include "lavenderpick/Forward/WindowedRetryBudget.h"

namespace Lavenderpick {

void WindowedRetryBudget::removeExpired(std::deque<TimePoint> &times, TimePoint now) const
{
    while (!times.empty() && times.front() + m_settings.window <= now)
        times.pop_front();
}

void WindowedRetryBudget::recordRequest(const std::string &service, TimePoint now)
{
    History &history = m_services[service];
    removeExpired(history.requests, now);
    history.requests.push_back(now);
}

bool WindowedRetryBudget::tryRetry(const std::string &service, TimePoint now)
{
    // Part of the slack stays unused, since a peer that isn't known yet may use a share of it too.
    constexpr double usableSlackShare = 0.7;
    History &history = m_services[service];
    removeExpired(history.requests, now);
    removeExpired(history.retries, now);
    const double allowed = m_settings.ratio * static_cast<double>(history.requests.size())
            + usableSlackShare * m_settings.slack / static_cast<double>(m_gatewayCount);
    if (static_cast<double>(history.retries.size() + 1) > allowed)
        return false;
    history.retries.push_back(now);
    return true;
}

std::size_t WindowedRetryBudget::retries(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.retries.size();
}

} // namespace Lavenderpick
