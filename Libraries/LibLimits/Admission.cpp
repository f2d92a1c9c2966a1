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
    if (const auto refusal = checkDeadline(request))
        return *refusal;
    if (const auto refusal = checkPressure(request))
        return *refusal;
    const std::optional<Duration> wait =
            m_budgets.charge(request.customer, request.chargedSeconds, now);
    if (!wait)
        return {};
    return { RefusalReason::CustomerBudget,
             retryAfterSeconds(std::chrono::duration<double>(*wait).count()) };
}

std::optional<CallerAdmissionDecision>
Admission::checkDeadline(const CallerAdmissionRequest &request) const
{
    const double usableSeconds = request.remainingSeconds / m_settings.deadlineMargin;
    if (request.executionSeconds > usableSeconds)
        return CallerAdmissionDecision {
            RefusalReason::DeadlineTooShort
        }; // A later retry can't succeed.
    const double excessSeconds = request.executionSeconds + request.waitSeconds - usableSeconds;
    if (excessSeconds <= 0)
        return std::nullopt;
    return CallerAdmissionDecision { RefusalReason::DeadlineTooShort,
                                     retryAfterSeconds(excessSeconds) };
}

std::optional<CallerAdmissionDecision>
Admission::checkPressure(const CallerAdmissionRequest &request) const
{
    const int lastRank = std::max(1, request.priorityCount - 1);
    const double normalizedPriority =
            1 - static_cast<double>(std::clamp(request.priorityRank, 0, lastRank)) / lastRank;
    const double excessPressure = m_pressure
            - (m_settings.shedThreshold + m_settings.shedThresholdRange * normalizedPriority);
    if (excessPressure <= 0)
        return std::nullopt;
    return CallerAdmissionDecision { RefusalReason::QueueFull,
                                     retryAfterSeconds(excessPressure
                                                       * m_settings.pressureRecoverySeconds) };
}

int Admission::retryAfterSeconds(double seconds) const
{
    const auto maximumSeconds = static_cast<double>(m_settings.maximumRetryAfterSeconds);
    return static_cast<int>(std::clamp(std::ceil(seconds), 1.0, maximumSeconds));
}

} // namespace Lavenderpick
