#include "lavenderpick/Retry/OutlierDetector.h"

#include <algorithm>

namespace Lavenderpick {

OutlierDetector::OutlierDetector(const OutlierSettings &settings)
    : m_settings(settings)
{ }

void OutlierDetector::recordSuccess(const std::string &upstream, TimePoint now)
{
    const auto found = m_states.find(upstream);
    if (found == m_states.end())
        return;
    State &state = found->second;
    state.consecutiveFailures = 0;
    const bool pastSlowStart = now >= state.ejectedUntil + m_settings.slowStartDuration;
    if (pastSlowStart
        && (state.timesEjected == 0
            || now - state.lastFailure > m_settings.failureHistoryRetention))
        m_states.erase(found);
}

void OutlierDetector::recordFailure(const std::string &upstream, TimePoint now)
{
    State &state = m_states[upstream];
    if (now < state.ejectedUntil)
        return; // The failed request was sent before the ejection.
    state.lastFailure = now;
    ++state.consecutiveFailures;
    // During slow start, one failure is enough to eject the upstream again.
    const bool inSlowStart =
            state.timesEjected > 0 && now < state.ejectedUntil + m_settings.slowStartDuration;
    if ((inSlowStart || state.consecutiveFailures >= m_settings.failureThreshold) && mayEject(now))
        eject(state, now);
}

bool OutlierDetector::mayEject(TimePoint now) const
{
    const double limit = m_settings.maximumEjectedShare * static_cast<double>(m_knownUpstreams);
    return static_cast<double>(ejectedCount(now) + 1) <= limit;
}

void OutlierDetector::eject(State &state, TimePoint now) const
{
    constexpr int maximumDoublings = 10;
    const Duration duration =
            m_settings.baseEjectionDuration * (1 << std::min(state.timesEjected, maximumDoublings));
    state.ejectedUntil = now + std::min(duration, m_settings.maximumEjectionDuration);
    state.consecutiveFailures = 0;
    ++state.timesEjected;
}

bool OutlierDetector::isEjected(const std::string &upstream, TimePoint now) const
{
    const auto found = m_states.find(upstream);
    return found != m_states.end() && now < found->second.ejectedUntil;
}

double OutlierDetector::trafficShare(const std::string &upstream, TimePoint now) const
{
    const auto found = m_states.find(upstream);
    if (found == m_states.end() || found->second.timesEjected == 0)
        return 1;
    const State &state = found->second;
    if (now < state.ejectedUntil)
        return 0;
    const double progress = std::chrono::duration<double>(now - state.ejectedUntil)
            / std::chrono::duration<double>(m_settings.slowStartDuration);
    return std::min(
            1.0, m_settings.initialTrafficShare + (1 - m_settings.initialTrafficShare) * progress);
}

std::size_t OutlierDetector::ejectedCount(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_states.begin(), m_states.end(),
                          [now](const auto &state) { return now < state.second.ejectedUntil; }));
}

void OutlierDetector::forget(const std::string &upstream)
{
    m_states.erase(upstream);
}

} // namespace Lavenderpick
