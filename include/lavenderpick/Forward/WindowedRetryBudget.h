#pragma once

#include "lavenderpick/Base/Clock.h"

#include <deque>
#include <map>
#include <string>

namespace Lavenderpick {

struct WindowedRetryBudgetSettings
{
    double ratio { 0.2 }; ///< Repeats allowed per request to the same service.
    double slack { 100 }; ///< Repeats allowed besides, by all gateways together.
    Duration window { Seconds(10) };

    bool operator==(const WindowedRetryBudgetSettings &) const = default;
};

/// Bounds the repeats to each service in any window, over all gateways: each may use the ratio of
/// its own requests and its share of the slack. Not safe for concurrent use.
class WindowedRetryBudget
{
public:
    explicit WindowedRetryBudget(const WindowedRetryBudgetSettings &settings)
        : m_settings(settings)
    { }

    /// Sets among how many gateways the slack is divided.
    void setGatewayCount(std::size_t count) { m_gatewayCount = count == 0 ? 1 : count; }

    void recordRequest(const std::string &service, TimePoint now);

    /// Whether one repeat may be sent now; counts it if so.
    bool tryRetry(const std::string &service, TimePoint now);

    std::size_t retries(const std::string &service) const;

private:
    struct History
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void removeExpired(std::deque<TimePoint> &times, TimePoint now) const;

    WindowedRetryBudgetSettings m_settings;
    std::size_t m_gatewayCount { 1 };
    std::map<std::string, History> m_services;
};

} // namespace Lavenderpick
