#include "lavenderpick/Forward/UpstreamNotices.h"

#include <algorithm>

namespace Lavenderpick {

/// Null if a later process of the upstream gave notice already.
UpstreamNotices::Notice *UpstreamNotices::noticeOf(const std::string &upstream,
                                                   std::int64_t startedMs, TimePoint now)
{
    const auto [entry, added] =
            m_notices.try_emplace(upstream, Notice { .startedMs = startedMs, .lastListedAt = now });
    Notice &notice = entry->second;
    if (startedMs < notice.startedMs)
        return nullptr;
    if (startedMs > notice.startedMs)
        notice = { .startedMs = startedMs, .lastListedAt = now };
    return &notice;
}

const UpstreamNotices::Notice *UpstreamNotices::find(const std::string &upstream,
                                                     std::int64_t startedMs) const
{
    const auto found = m_notices.find(upstream);
    return found == m_notices.end() || found->second.startedMs != startedMs ? nullptr
                                                                            : &found->second;
}

bool UpstreamNotices::recordLeaving(const std::string &upstream, std::int64_t startedMs,
                                    TimePoint now)
{
    Notice *notice = noticeOf(upstream, startedMs, now);
    if (notice == nullptr || notice->leaving)
        return false;
    notice->leaving = true;
    return true;
}

bool UpstreamNotices::recordPause(const std::string &upstream, std::int64_t startedMs,
                                  Duration pause, TimePoint now)
{
    Notice *notice = noticeOf(upstream, startedMs, now);
    const TimePoint until = now + std::min<Duration>(pause, longestPause);
    if (notice == nullptr || (notice->pausedUntil && *notice->pausedUntil >= until))
        return false;
    notice->pausedUntil = until;
    return true;
}

bool UpstreamNotices::isLeaving(const std::string &upstream, std::int64_t startedMs) const
{
    const Notice *notice = find(upstream, startedMs);
    return notice != nullptr && notice->leaving;
}

std::optional<TimePoint> UpstreamNotices::pausedUntil(const std::string &upstream,
                                                      std::int64_t startedMs) const
{
    const Notice *notice = find(upstream, startedMs);
    return notice == nullptr ? std::nullopt : notice->pausedUntil;
}

std::vector<std::string>
UpstreamNotices::expire(TimePoint now, const std::function<bool(const std::string &)> &isListed)
{
    std::vector<std::string> ended;
    for (auto &[upstream, notice] : m_notices) {
        if (isListed(upstream))
            notice.lastListedAt = now;
        if (!notice.pausedUntil || now < *notice.pausedUntil)
            continue;
        notice.pausedUntil.reset();
        ended.push_back(upstream);
    }
    std::erase_if(m_notices, [now](const auto &entry) {
        const Notice &notice = entry.second;
        return !notice.pausedUntil
                && (!notice.leaving || now - notice.lastListedAt > unlistedRetention);
    });
    return ended;
}

} // namespace Lavenderpick
