#pragma once

#include "lavenderpick/Base/Reasons.h"

namespace Lavenderpick {

struct RetryBudgetSettings
{
    double retriesPerSuccess { 0.1 }; ///< Retries allowed per success.
    double initialRetries { 10 };  ///< Retries allowed at the start, so that low traffic can retry.
    double maximumRetries { 100 }; ///< Credit kept from quiet times.
};

/// Allows retries as a share of successes, so that retries can't multiply the load of a failing
/// fleet. Not safe for concurrent use.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings = {});

    void recordSuccess();

    /// Whether one retry may be made now; takes it from the budget. An upstream that drains has
    /// refused for its own reasons, which are no sign of overload, so that retry is free.
    bool tryAcquireRetry(RetryReason reason);

    double availableRetries() const { return m_availableRetries; }

private:
    RetryBudgetSettings m_settings;
    double m_availableRetries;
};

} // namespace Lavenderpick
