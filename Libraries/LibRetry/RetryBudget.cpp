#include "lavenderpick/Retry/RetryBudget.h"

#include <algorithm>

namespace Lavenderpick {

RetryBudget::RetryBudget(const RetryBudgetSettings &settings)
    : m_settings(settings)
    , m_availableRetries(settings.initialRetries)
{ }

void RetryBudget::recordSuccess()
{
    m_availableRetries =
            std::min(m_settings.maximumRetries, m_availableRetries + m_settings.retriesPerSuccess);
}

bool RetryBudget::tryRetry(RetryReason reason)
{
    if (reason == RetryReason::UpstreamDraining)
        return true;
    if (m_availableRetries < 1)
        return false;
    m_availableRetries -= 1;
    return true;
}

} // namespace Lavenderpick
