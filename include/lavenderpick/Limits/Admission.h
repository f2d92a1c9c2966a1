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
    int priorityCount { 1 };       ///< Priorities in the document.
    double chargedSeconds { 0 };   ///< Predicted cost for the budget.
    double executionSeconds { 0 }; ///< Predicted time to completion on an idle engine.
    double waitSeconds { 0 };      ///< Predicted wait at the chosen upstream.
    double remainingSeconds { 0 }; ///< Until the deadline.
};

struct CallerAdmissionDecision
{
    std::optional<RefusalReason> refusal {};
    std::optional<int> retryAfterSeconds {}; ///< Set where waiting helps.

    bool admitted() const { return !refusal; }
    bool operator==(const CallerAdmissionDecision &) const = default;
};

struct AdmissionSettings
{
    /// Predicted times vary by about a fifth; a request that would only just finish is refused
    /// while the caller can still go elsewhere.
    double deadlineMargin { 1.25 };
    double shedThreshold { 1.0 };      ///< The lowest priority is shed above this pressure.
    double shedThresholdRange { 1.0 }; ///< The highest priority is shed above the sum of both.
    double pressureRecoverySeconds {
        5
    }; ///< Time in which pressure falls by 1 once shedding began.
    int maximumRetryAfterSeconds { 300 };
};

/// Refuses early what can't succeed. Not safe for concurrent use.
class Admission
{
public:
    Admission(const AdmissionSettings &settings, CustomerBudgets &budgets);

    /// The fleet's load as seen here: 1 is full. Call about once a second.
    void setPressure(double pressure) { m_pressure = pressure; }

    /// Charges the customer's budget when it admits. The order is deadline, shedding, budget, so
    /// that a request which is refused anyway costs no budget.
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
