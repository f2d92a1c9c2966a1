#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace Lavenderpick {

struct OutlierSettings
{
    /// Consecutive failures that eject an upstream. Each costs a retry, also when a whole
    /// availability zone fails.
    int failureThreshold { 3 };
    /// Fraction of the known upstreams that may be ejected at once. A deployment has three
    /// availability zones, and the loss of one must fit.
    double maximumEjectedShare { 0.5 };
    Duration baseEjectionDuration { Seconds(5) }; ///< Doubles with each further ejection.
    Duration maximumEjectionDuration { Seconds(120) };
    /// Time after an ejection until the upstream gets its full share of traffic.
    Duration slowStartDuration { Seconds(20) };
    double initialTrafficShare { 0.1 }; ///< Share of traffic right after an ejection.
    /// Time without failures after which a success clears the history of an ejected upstream.
    Duration failureHistoryRetention { Seconds(120) };
};

/// Ejects upstreams from routing for a limited time after consecutive failures. Not safe for
/// concurrent use.
///
/// Limits the share of upstreams ejected at once: when most of them fail, the cause is elsewhere,
/// and sending all traffic to the few others would overload those too.
class OutlierDetector
{
public:
    explicit OutlierDetector(const OutlierSettings &settings = {});

    /// Sets the number of upstreams that `maximumEjectedShare` refers to.
    void setKnownUpstreams(std::size_t count) { m_knownUpstreams = count; }

    void recordSuccess(const std::string &upstream, TimePoint now);

    /// Not for refusals because of draining, budget or a full queue, which are not failures.
    void recordFailure(const std::string &upstream, TimePoint now);

    bool isEjected(const std::string &upstream, TimePoint now) const;

    /// Share of its usual traffic that the upstream may get: 0 while ejected, then rising to 1.
    double trafficShare(const std::string &upstream, TimePoint now) const;

    std::size_t ejectedCount(TimePoint now) const;

    /// Drops the failure history of an upstream that is gone or has restarted.
    void forget(const std::string &upstream);

private:
    struct State
    {
        int consecutiveFailures { 0 };
        int timesEjected { 0 };
        TimePoint ejectedUntil {};
        TimePoint lastFailure {};
    };

    bool mayEject(TimePoint now) const;
    void eject(State &state, TimePoint now) const;

    OutlierSettings m_settings;
    std::size_t m_knownUpstreams { 0 };
    std::map<std::string, State> m_states; ///< Only upstreams with recorded failures.
};

} // namespace Lavenderpick
