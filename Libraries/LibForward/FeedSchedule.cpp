#include "lavenderpick/Forward/FeedSchedule.h"

#include <algorithm>

namespace Lavenderpick {

std::string_view toString(FeedRole role)
{
    switch (role) {
    case FeedRole::Alone:
        return "alone";
    case FeedRole::Reader:
        return "reader";
    case FeedRole::Follower:
        return "follower";
    }
    return "unknown";
}

FeedScheduleSettings FeedScheduleSettings::forPropagationLimit(Duration limit)
{
    // Half of the limit remains for a read that fails once and for a busy gateway.
    constexpr int maximumAgeDivisor = 2;
    constexpr int readerPollWaitDivisor = 4;
    constexpr int relistSpreadDivisor = 4;
    FeedScheduleSettings settings;
    settings.maximumAge = limit / maximumAgeDivisor;
    settings.readerPollWait = limit / readerPollWaitDivisor;
    settings.relistSpread = limit / relistSpreadDivisor;
    settings.alonePollWait = std::min(settings.alonePollWait, limit * 3 / 4);
    return settings;
}

FeedSchedule::FeedSchedule(const FeedScheduleSettings &settings, Random &random)
    : m_settings(settings)
    , m_random(random)
    , m_ownMaximumAge(
              std::chrono::duration_cast<Duration>(settings.maximumAge * (1 - 0.2 * random.unit())))
{ }

void FeedSchedule::recordListing(std::int64_t revision, TimePoint sentAt)
{
    // A listing doesn't show when rows were removed, so any revision may hold the newest change.
    m_newestChange = std::max(m_newestChange, revision);
    m_readTo = std::max(m_readTo, revision);
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
    m_ownConfirmedAt = sentAt;
    m_relistAt.reset();
    // Gateways that start together learn of each other before each begins to poll. The first to
    // poll confirms the listing before the others' confirmations are too old.
    m_nextReadAt = sentAt + m_settings.maximumAge / 2;
    closeGap(sentAt);
}

void FeedSchedule::closeGap(TimePoint sentAt)
{
    // The store's response to a read sent after the report has all that the peer knew.
    if (m_gap && (m_gap->heardAt <= sentAt || m_gap->revision <= m_readTo))
        m_gap.reset();
}

void FeedSchedule::recordRead(std::int64_t revision, std::int64_t newestChange, TimePoint sentAt,
                              Duration wait, TimePoint now)
{
    m_newestChange = std::max(m_newestChange, newestChange);
    m_readTo = std::max({ m_readTo, revision, newestChange });
    // A response may have waited in a buffer while this process was paused, so its arrival does not
    // show when the store sent it.
    m_ownConfirmedAt = newestChange > 0 ? sentAt : std::min(now, sentAt + wait);
    m_confirmedAt = std::max(m_confirmedAt, m_ownConfirmedAt);
    // A poll without changes ends after its wait, unless the store returns it early.
    const bool isSpaced = newestChange > 0 || wait > Duration {};
    m_nextReadAt = isSpaced ? sentAt + m_settings.changeSpacing : TimePoint {};
    closeGap(sentAt);
}

void FeedSchedule::recordFailure(TimePoint now)
{
    const Duration backoff = m_settings.initialBackoff
            * (1 << std::min(m_failures, m_settings.maximumBackoffDoublings));
    m_retryAt = now + (m_role == FeedRole::Follower ? m_ownMaximumAge : backoff);
    ++m_failures;
}

bool FeedSchedule::recordEra(std::int64_t era, TimePoint now)
{
    if (m_readTo == 0 || era <= StorePosition::fromNumber(m_readTo).era)
        return false;
    if (m_relistAt)
        return true;
    // Those that read for others list first, so that changes soon reach all.
    const double share = m_role == FeedRole::Follower ? m_random.unit() : 0;
    m_relistAt = now + std::chrono::duration_cast<Duration>(m_settings.relistSpread * share);
    return true;
}

bool FeedSchedule::recordPeerReport(const FeedReport &report, TimePoint now)
{
    // What a peer read in an earlier era confirms nothing about this one.
    if (StorePosition::fromNumber(report.readTo).era < StorePosition::fromNumber(m_readTo).era)
        return false;
    if (report.newestChange > m_readTo) {
        recordGap(report.newestChange, now);
        return false;
    }
    // No change lies between the newest one, which is applied here too, and the peer's `readTo`.
    m_readTo = std::max(m_readTo, report.readTo);
    m_confirmedAt = std::max(m_confirmedAt, now - report.age);
    return report.age < m_settings.maximumAge;
}

bool FeedSchedule::applyPeerChange(std::int64_t revision)
{
    if (revision <= m_readTo)
        return false;
    m_readTo = revision;
    m_newestChange = std::max(m_newestChange, revision);
    if (m_gap && m_gap->revision <= m_readTo)
        m_gap.reset();
    return true;
}

void FeedSchedule::recordGap(std::int64_t revision, TimePoint now)
{
    if (m_gap) {
        m_gap->revision = std::max(m_gap->revision, revision);
        m_gap->heardAt = now;
        return;
    }
    // The datagram with the change may still be on its way.
    const double delayShare = 0.5 + m_random.unit() / 2;
    m_gap = {
        .revision = revision,
        .heardAt = now,
        .readAt = now + std::chrono::duration_cast<Duration>(m_settings.catchUpSpread * delayShare)
    };
}

std::optional<Duration> FeedSchedule::dueRead(TimePoint now) const
{
    if (m_failures > 0) {
        // A call without a wait detects soonest that the store is reachable again.
        if (now < m_retryAt)
            return std::nullopt;
        return Duration {};
    }
    if (m_gap && now >= m_gap->readAt)
        return Duration {};
    if (m_role != FeedRole::Follower && now < m_nextReadAt)
        return std::nullopt;
    if (m_role == FeedRole::Alone)
        return m_settings.alonePollWait;
    if (m_role == FeedRole::Reader) {
        // Peers that rely on this gateway wait for a confirmation.
        const bool isConfirmed = now - m_ownConfirmedAt < m_settings.readerPollWait;
        return isConfirmed ? m_settings.readerPollWait : Duration {};
    }
    if (now - m_confirmedAt < m_ownMaximumAge)
        return std::nullopt;
    return Duration {};
}

TimePoint FeedSchedule::completeUpTo(TimePoint now) const
{
    const bool polls = m_role != FeedRole::Follower && m_failures == 0 && now >= m_nextReadAt;
    return polls ? now : m_confirmedAt;
}

FeedReport FeedSchedule::report(TimePoint now) const
{
    return { .newestChange = m_newestChange, .readTo = m_readTo, .age = now - m_ownConfirmedAt };
}

} // namespace Lavenderpick
