#pragma once

#include "lavenderpick/Base/Reasons.h"

namespace Lavenderpick {

struct RetryBudgetSettings
{
    double retriesPerSuccess { 0.1 }; ///< Added to the budget with each success.
    double initialRetries { 10 };     ///< Initial budget, so that retries work at low traffic.
    double maximumRetries { 100 };    ///< Upper bound of unused retries that accumulate.
};

/// Limits retries to a fraction of successful requests, so that retries can't multiply the load of
/// a failing fleet. Not safe for concurrent use.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings = {});

    void recordSuccess();

    /// Takes one retry from the budget; returns false if none is left. Retries after a refusal by
    /// a draining upstream are free, since draining is no sign of overload.
    bool tryRetry(RetryReason reason);

    double availableRetries() const { return m_availableRetries; }

private:
    RetryBudgetSettings m_settings;
    double m_availableRetries;
};

} // namespace Lavenderpick
