#include "lavenderpick/Forward/UpstreamRateLimits.h"

namespace Lavenderpick {

bool UpstreamRateLimits::recordNamed(const std::string &upstream, std::optional<double> limit)
{
    if (this->limit(upstream) == limit)
        return false;
    if (limit)
        m_limits[upstream] = *limit;
    else
        m_limits.erase(upstream);
    return true;
}

std::optional<double> UpstreamRateLimits::limit(const std::string &upstream) const
{
    const auto found = m_limits.find(upstream);
    return found == m_limits.end() ? std::nullopt : std::optional<double>(found->second);
}

} // namespace Lavenderpick
