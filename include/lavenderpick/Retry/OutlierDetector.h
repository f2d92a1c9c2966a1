#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace Lavenderpick {

struct OutlierSettings
{
    int failureThreshold { 3 }; ///< Each costs a retry, also when a whole zone fails.
    /// Of the upstreams known here. A deployment has three availability zones, and the loss of one
    /// must fit.
    double maximumEjectedShare { 0.5 };
    Duration baseEjectionDuration { Seconds(5) };
    Duration maximumEjectionDuration { Seconds(120) };
    Duration slowStartDuration { Seconds(
            20) };                      ///< Time to the full share of work after an ejection.
    double initialTrafficShare { 0.1 }; ///< Share of work right after an ejection.
    Duration failureHistoryRetention { Seconds(
            120) }; ///< Without failures, after which history is dropped.
};

/// Takes upstreams that fail in a row out of routing for a while. Not safe for concurrent use.
///
/// At most a share of the upstreams is ejected at once: when most of them fail, the cause is
/// elsewhere, and sending everything to the few others would bring those down too.
class OutlierDetector
{
public:
    explicit OutlierDetector(const OutlierSettings &settings = {});

    /// Sets the number of upstreams of which a share may be ejected.
    void setKnownUpstreams(std::size_t count) { m_knownUpstreams = count; }

    void recordSuccess(const std::string &upstream, TimePoint now);

    /// A refusal because of draining, budget or a full queue is not a failure.
    void recordFailure(const std::string &upstream, TimePoint now);

    bool isEjected(const std::string &upstream, TimePoint now) const;

    /// Share of its usual work that the upstream may get: 0 while ejected, then rising to 1.
    double trafficShare(const std::string &upstream, TimePoint now) const;

    std::size_t ejectedCount(TimePoint now) const;

    /// Forgets an upstream that is gone or restarted.
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
    std::map<std::string, State> m_states; ///< Only upstreams with a failure on record.
};

} // namespace Lavenderpick
