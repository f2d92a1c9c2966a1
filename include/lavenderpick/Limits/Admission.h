#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Reasons.h"
#include "lavenderpick/Limits/CustomerBudgets.h"

#include <optional>
#include <string>

namespace Lavenderpick {

struct CallerAdmissionRequest
{
    std::string customer;
    int priorityRank { 0 };        ///< Position of the priority in the document: 0 is shed last.
    int priorityCount { 1 };       ///< Number of priorities in the document.
    double chargedSeconds { 0 };   ///< Predicted cost, charged to the customer's budget.
    double executionSeconds { 0 }; ///< Predicted time to completion on an idle engine.
    double waitSeconds { 0 };      ///< Predicted queueing time at the chosen upstream.
    double remainingSeconds { 0 }; ///< Time until the request's deadline.
};

struct CallerAdmissionDecision
{
    std::optional<RefusalReason> refusal {};
    std::optional<int> retryAfterSeconds {}; ///< Set only where a later retry can succeed.

    bool admitted() const { return !refusal; }
    bool operator==(const CallerAdmissionDecision &) const = default;
};

struct AdmissionSettings
{
    /// Ratio of the remaining time to the predicted time below which a request is refused.
    /// Predictions vary by about 20%, so that a request which would only just finish is refused
    /// while the caller can still go elsewhere.
    double deadlineMargin { 1.25 };
    double shedThreshold { 1.0 };      ///< Pressure above which the lowest priority is shed.
    double shedThresholdRange { 1.0 }; ///< Added in full for the highest priority.
    /// Time in which pressure falls by 1 while requests are shed.
    double pressureRecoverySeconds { 5 };
    int maximumRetryAfterSeconds { 300 };
};

/// Decides whether a caller's request is admitted, from its deadline, the fleet's load and the
/// customer's budget. Not safe for concurrent use.
class Admission
{
public:
    Admission(const AdmissionSettings &settings, CustomerBudgets &budgets);

    /// Sets the fleet's utilisation as seen by this entry; 1 is full. Call about once a second.
    void setPressure(double pressure) { m_pressure = pressure; }

    /// Charges the customer's budget on admission. Checks the deadline, then load shedding, then
    /// the budget, so that a request refused for another reason is not charged.
    CallerAdmissionDecision admit(const CallerAdmissionRequest &request, TimePoint now);

private:
    std::optional<CallerAdmissionDecision>
    checkDeadline(const CallerAdmissionRequest &request) const;
    std::optional<CallerAdmissionDecision>
    checkPressure(const CallerAdmissionRequest &request) const;
    int retryAfterSeconds(double seconds) const;

    AdmissionSettings m_settings;
    CustomerBudgets &m_budgets;
    double m_pressure { 0 };
};

} // namespace Lavenderpick
