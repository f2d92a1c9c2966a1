#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Forward/StorePosition.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Lavenderpick {

/// What a gateway knows of one table of the store, from its own reads. Positions are numbers of
/// `StorePosition`.
struct FeedReport
{
    std::int64_t newestChange { 0 }; ///< Position of the newest change that it applied.
    std::int64_t readTo { 0 };       ///< Position up to which it applied every change.
    Duration age {};                 ///< Since the store confirmed `readTo`.

    bool operator==(const FeedReport &) const = default;
};

/// How a gateway's reads of the store serve its peers.
enum class FeedRole {
    Alone,    ///< Reads for itself; its peers do too.
    Reader,   ///< Reads for itself and for its peers.
    Follower, ///< Relies on a reader.
};

std::string_view toString(FeedRole role);

struct FeedScheduleSettings
{
    /// A gateway that relies on peers reads the table itself when the last confirmation is older.
    Duration maximumAge { Milliseconds(1'000) };
    /// Long poll of a gateway that reads for its peers. Several fit within `maximumAge`.
    Duration readerPollWait { Milliseconds(500) };
    /// Long poll of a gateway that reads for itself. It bounds how long a connection that has gone
    /// silent stays unnoticed: less than `StoreAvailability::shortestExpiry`, so that the silence
    /// is no outage.
    Duration alonePollWait { Milliseconds(1'300) };
    /// Time from the start of a poll, or of a read that returned changes, to the next read. Many
    /// upstreams change at about the same time, and each of their changes would complete a long
    /// poll of its own.
    Duration changeSpacing { Milliseconds(150) };
    /// Gateways that learn at the same time that the store came back from an older copy list the
    /// table within this time.
    Duration relistSpread { Milliseconds(1'000) };
    /// Gateways that hear of a change at the same time read it within this time.
    Duration catchUpSpread { Milliseconds(150) };
    /// A follower retries after `maximumAge` instead.
    Duration initialBackoff { Milliseconds(100) };
    int maximumBackoffDoublings { 2 };

    bool operator==(const FeedScheduleSettings &) const = default;

    /// Settings that keep every gateway within `limit` of the store's changes.
    static FeedScheduleSettings forPropagationLimit(Duration limit);
};

/// Decides when a gateway reads the changes of one table from the store.
///
/// If every gateway polled, the calls would grow with the number of gateways times the number of
/// changes. Instead, few gateways poll and report to the others what the store confirmed; the
/// others read only to fetch a change that they lack, or when the last confirmation is too old.
/// So a gateway that hears no peer, or only stale ones, stays within `maximumAge` by itself.
class FeedSchedule
{
public:
    FeedSchedule(const FeedScheduleSettings &settings, Random &random);

    void setRole(FeedRole role) { m_role = role; }

    /// Records a complete listing as of `revision`, requested at `sentAt`.
    void recordListing(std::int64_t revision, TimePoint sentAt);

    /// Records a successful read of changes up to `revision`. `newestChange` is the revision of the
    /// last returned change, or zero if none was returned.
    void recordRead(std::int64_t revision, std::int64_t newestChange, TimePoint sentAt,
                    Duration wait, TimePoint now);

    void recordFailure(TimePoint now);

    /// The store is in this era now. If what was read is of an earlier one, schedules a listing and
    /// returns true.
    bool recordEra(std::int64_t era, TimePoint now);

    /// Whether the table has to be listed, since what was read is of an earlier era.
    bool isRelistingDue(TimePoint now) const { return m_relistAt && now >= *m_relistAt; }

    /// Records the report of a peer. Returns whether it confirms that this gateway lacks no change.
    bool recordPeerReport(const FeedReport &report, TimePoint now);

    /// Whether changes that directly follow the change at `previousChange` leave no gap here.
    bool canApplyAfter(std::int64_t previousChange) const { return previousChange <= m_readTo; }

    /// Whether the change is newer than what was applied; if so, it counts as applied.
    bool applyPeerChange(std::int64_t revision);

    /// Schedules a read, because a peer knows the change at `revision`, which is missing here.
    void recordGap(std::int64_t revision, TimePoint now);

    /// The long-poll wait of the read that is due now; empty if none is due.
    std::optional<Duration> dueRead(TimePoint now) const;

    /// When a failed call may be retried.
    TimePoint retryAt() const { return m_retryAt; }

    FeedReport report(TimePoint now) const;

    /// Changes made up to this time are applied here. An open long poll reports newer ones at once.
    TimePoint completeUpTo(TimePoint now) const;

    std::int64_t readTo() const { return m_readTo; }
    std::int64_t newestChange() const { return m_newestChange; }
    int failures() const { return m_failures; }
    void resetFailures() { m_failures = 0; }

private:
    /// A change that a peer knows and that is missing here.
    struct Gap
    {
        std::int64_t revision { 0 };
        TimePoint heardAt {};
        TimePoint readAt {};
    };

    void closeGap(TimePoint sentAt);

    FeedScheduleSettings m_settings;
    Random &m_random;
    Duration m_ownMaximumAge; ///< Differs among gateways, so that they don't all read at once.
    FeedRole m_role { FeedRole::Alone };
    std::int64_t m_newestChange { 0 };
    std::int64_t m_readTo { 0 };
    TimePoint m_confirmedAt {};    ///< By an own read or a peer's.
    TimePoint m_ownConfirmedAt {}; ///< By an own read.
    TimePoint m_nextReadAt {};
    std::optional<Gap> m_gap;
    std::optional<TimePoint> m_relistAt;
    TimePoint m_retryAt {};
    int m_failures { 0 };
};

} // namespace Lavenderpick
