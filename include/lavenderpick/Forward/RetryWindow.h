#pragma once

#include "lavenderpick/Base/Clock.h"

#include <deque>
#include <map>
#include <string>

namespace Lavenderpick {

struct RetryWindowSettings
{
    double ratio { 0.2 }; ///< Repeats allowed per request to the same service.
    double slack { 100 }; ///< Repeats allowed besides, by all gateways together.
    Duration window { Seconds(10) };

    bool operator==(const RetryWindowSettings &) const = default;
};

/// Bounds the repeats to each service in any window, over all gateways: each may use the ratio of
/// its own requests and its share of the slack. Not safe for concurrent use.
class RetryWindow
{
public:
    explicit RetryWindow(const RetryWindowSettings &settings)
        : m_settings(settings)
    { }

    /// Sets among how many gateways the slack is divided.
    void setGateways(std::size_t count) { m_gateways = count == 0 ? 1 : count; }

    void recordRequest(const std::string &service, TimePoint now);

    /// Whether one repeat may be sent now; counts it if so.
    bool tryRepeat(const std::string &service, TimePoint now);

    std::size_t repeats(const std::string &service) const;

private:
    struct History
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
    };

    void forgetOld(std::deque<TimePoint> &times, TimePoint now) const;

    RetryWindowSettings m_settings;
    std::size_t m_gateways { 1 };
    std::map<std::string, History> m_services;
};

} // namespace Lavenderpick
