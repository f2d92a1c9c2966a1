#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// What upstreams said of themselves in their responses: that they leave, or that they want no
/// requests from this gateway for a while. Not safe for concurrent use.
///
/// A notice belongs to one process of an upstream (`UpstreamRecord::startedMs`) and ends with it.
/// Nothing else ends the notice of a process that leaves: its entry in the store may still say that
/// it is ready, may expire and return, and responses that were on their way may lack the notice.
class UpstreamNotices
{
public:
    /// Longer pauses are cut to this.
    static constexpr Duration longestPause { Seconds(3'600) };

    /// Returns whether that is new.
    bool recordLeaving(const std::string &upstream, std::int64_t startedMs, TimePoint now);

    /// Returns whether the upstream is paused for longer than before.
    bool recordPause(const std::string &upstream, std::int64_t startedMs, Duration pause,
                     TimePoint now);

    bool isLeaving(const std::string &upstream, std::int64_t startedMs) const;

    /// When the upstream may be asked again; empty if it isn't paused.
    std::optional<TimePoint> pausedUntil(const std::string &upstream, std::int64_t startedMs) const;

    /// Ends pauses and forgets upstreams that have not been listed for long. Returns those whose
    /// pause ended.
    std::vector<std::string> expire(TimePoint now,
                                    const std::function<bool(const std::string &)> &isListed);

private:
    /// An upstream that is not listed any more exits soon.
    static constexpr Duration unlistedRetention { Seconds(600) };

    struct Notice
    {
        std::int64_t startedMs { 0 };
        bool leaving { false };
        std::optional<TimePoint> pausedUntil {};
        TimePoint lastListedAt {};
    };

    Notice *noticeOf(const std::string &upstream, std::int64_t startedMs, TimePoint now);
    const Notice *find(const std::string &upstream, std::int64_t startedMs) const;

    std::map<std::string, Notice> m_notices;
};

} // namespace Lavenderpick
