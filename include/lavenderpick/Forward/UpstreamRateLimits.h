#pragma once

#include <map>
#include <optional>
#include <string>

namespace Lavenderpick {

/// The limits that upstreams name in their responses: requests a second from all gateways together.
/// Not safe for concurrent use.
class UpstreamRateLimits
{
public:
    /// Records the limit that a response of the upstream names, or that it names none. Returns
    /// whether that is a change.
    bool recordNamed(const std::string &upstream, std::optional<double> limit);

    /// Empty if the upstream names none.
    std::optional<double> limit(const std::string &upstream) const;

    /// Drops what is known of an upstream that is gone or has restarted.
    void forget(const std::string &upstream) { m_limits.erase(upstream); }

private:
    std::map<std::string, double> m_limits;
};

} // namespace Lavenderpick
