#include "lavenderpick/Limits/Admission.h"

#include <algorithm>
#include <cmath>

namespace Lavenderpick {

Admission::Admission(const AdmissionSettings &settings, CustomerBudgets &budgets)
    : m_settings(settings)
    , m_budgets(budgets)
{ }

CallerAdmissionDecision Admission::admit(const CallerAdmissionRequest &request, TimePoint now)
{
    if (const auto refused = checkDeadline(request))
        return *refused;
    if (const auto refused = checkPressure(request))
        return *refused;
    const std::optional<Duration> wait =
            m_budgets.charge(request.customer, request.chargedSeconds, now);
    if (!wait)
        return {};
    return { RefusalReason::CustomerBudget,
             retryAfter(std::chrono::duration<double>(*wait).count()) };
}

std::optional<CallerAdmissionDecision>
Admission::checkDeadline(const CallerAdmissionRequest &request) const
{
    const double possible = request.remainingSeconds / m_settings.deadlineMargin;
    if (request.idleSeconds > possible)
        return CallerAdmissionDecision {
            RefusalReason::DeadlineTooShort
        }; // Waiting does not help.
    const double excess = request.idleSeconds + request.waitSeconds - possible;
    if (excess <= 0)
        return std::nullopt;
    return CallerAdmissionDecision { RefusalReason::DeadlineTooShort, retryAfter(excess) };
}

std::optional<CallerAdmissionDecision>
Admission::checkPressure(const CallerAdmissionRequest &request) const
{
    const int last = std::max(1, request.rankCount - 1);
    const double importance = 1 - static_cast<double>(std::clamp(request.rank, 0, last)) / last;
    const double excess = m_pressure - (m_settings.shedPressure + m_settings.shedSpan * importance);
    if (excess <= 0)
        return std::nullopt;
    return CallerAdmissionDecision { RefusalReason::QueueFull,
                                     retryAfter(excess * m_settings.recoverySeconds) };
}

int Admission::retryAfter(double seconds) const
{
    const auto maximum = static_cast<double>(m_settings.maximumRetryAfterSeconds);
    return static_cast<int>(std::clamp(std::ceil(seconds), 1.0, maximum));
}

} // namespace Lavenderpick
