#pragma once

#include "lavenderpick/Base/Clock.h"

#include <deque>
#include <map>
#include <string>

namespace Lavenderpick {

struct WindowedRetryBudgetSettings
{
    double ratio { 0.2 }; ///< Retries allowed per request to the same service.
    double slack { 100 }; ///< Additional retries allowed, for all gateways together.
    Duration window { Seconds(10) };

    bool operator==(const WindowedRetryBudgetSettings &) const = default;
};

/// Limits the retries to each service in any window, across all gateways: each gateway may use the
/// ratio of its own requests plus its share of the slack. Not safe for concurrent use.
class WindowedRetryBudget
{
public:
    explicit WindowedRetryBudget(const WindowedRetryBudgetSettings &settings)
        : m_settings(settings)
    { }

    /// Sets the number of gateways that share the slack.
    void setGatewayCount(std::size_t count) { m_gatewayCount = count == 0 ? 1 : count; }

    void recordRequest(const std::string &service, TimePoint now);

    /// Whether one retry may be sent now; if so, it is counted.
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
