#include "lavenderpick/Retry/RetryBudget.h"

#include <algorithm>

namespace Lavenderpick {

RetryBudget::RetryBudget(const RetryBudgetSettings &settings)
    : m_settings(settings)
    , m_available(settings.reserve)
{ }

void RetryBudget::recordSuccess()
{
    m_available = std::min(m_settings.maximum, m_available + m_settings.share);
}

bool RetryBudget::tryRetry(RetryReason reason)
{
    if (reason == RetryReason::UpstreamDraining)
        return true;
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace Lavenderpick
