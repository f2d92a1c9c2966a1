#pragma once

#include "lavenderpick/Base/Reasons.h"

namespace Lavenderpick {

struct RetryBudgetSettings
{
    double share { 0.1 };   ///< Retries allowed per success.
    double reserve { 10 };  ///< Retries allowed at the start, so that low traffic can retry.
    double maximum { 100 }; ///< Credit kept from quiet times.
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
    bool tryRetry(RetryReason reason);

    double available() const { return m_available; }

private:
    RetryBudgetSettings m_settings;
    double m_available;
};

} // namespace Lavenderpick
