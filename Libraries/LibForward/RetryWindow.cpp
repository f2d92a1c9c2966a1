#include "lavenderpick/Forward/RetryWindow.h"

namespace Lavenderpick {

void RetryWindow::forgetOld(std::deque<TimePoint> &times, TimePoint now) const
{
    while (!times.empty() && times.front() + m_settings.window <= now)
        times.pop_front();
}

void RetryWindow::recordRequest(const std::string &service, TimePoint now)
{
    History &history = m_services[service];
    forgetOld(history.requests, now);
    history.requests.push_back(now);
}

bool RetryWindow::tryRepeat(const std::string &service, TimePoint now)
{
    // A peer may not be known yet, so the slack is never used whole.
    constexpr double usedSlack = 0.7;
    History &history = m_services[service];
    forgetOld(history.requests, now);
    forgetOld(history.repeats, now);
    const double allowed = m_settings.ratio * static_cast<double>(history.requests.size())
            + usedSlack * m_settings.slack / static_cast<double>(m_gateways);
    if (static_cast<double>(history.repeats.size() + 1) > allowed)
        return false;
    history.repeats.push_back(now);
    return true;
}

std::size_t RetryWindow::repeats(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.repeats.size();
}

} // namespace Lavenderpick
