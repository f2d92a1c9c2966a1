#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace Lavenderpick {

struct OutlierSettings
{
    int consecutiveFailures { 3 }; ///< Each costs a retry, also when a whole zone fails.
    /// Of the upstreams known here. A deployment has three availability zones, and the loss of one
    /// must fit.
    double maximumEjectedShare { 0.5 };
    Duration firstEjection { Seconds(5) };
    Duration maximumEjection { Seconds(120) };
    Duration ramp { Seconds(20) };         ///< Time to the full share of work after an ejection.
    double firstShare { 0.1 };             ///< Share of work right after an ejection.
    Duration forgiveness { Seconds(120) }; ///< Without failures, after which history is dropped.
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
    void setKnownUpstreams(std::size_t count) { m_known = count; }

    void recordSuccess(const std::string &upstream, TimePoint now);

    /// A refusal because of draining, budget or a full queue is not a failure.
    void recordFailure(const std::string &upstream, TimePoint now);

    bool isEjected(const std::string &upstream, TimePoint now) const;

    /// Share of its usual work that the upstream may get: 0 while ejected, then rising to 1.
    double share(const std::string &upstream, TimePoint now) const;

    std::size_t ejectedCount(TimePoint now) const;

    /// Forgets an upstream that is gone or restarted.
    void forget(const std::string &upstream);

private:
    struct State
    {
        int failures { 0 };
        int ejections { 0 };
        TimePoint ejectedUntil {};
        TimePoint lastFailure {};
    };

    bool mayEject(TimePoint now) const;
    void eject(State &state, TimePoint now) const;

    OutlierSettings m_settings;
    std::size_t m_known { 0 };
    std::map<std::string, State> m_states; ///< Only upstreams with a failure on record.
};

} // namespace Lavenderpick
