#include "lavenderpick/Forward/FeedSchedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>

using namespace Lavenderpick;

namespace {

struct Fixture
{
    ManualClock clock;
    SeededRandom random { 1 };
    FeedScheduleSettings settings = FeedScheduleSettings::forPropagationLimit(Seconds(2));
    FeedSchedule schedule { settings, random };

    TimePoint now() const { return clock.now(); }
};

/// The changes of one table, and gateways that read it through a `FeedSchedule` each. Reports and
/// changes travel between them over a network that loses, delays and reorders messages.
class FollowingGateways
{
public:
    struct Change
    {
        std::int64_t revision { 0 };
        TimePoint madeAt {};
    };

    FollowingGateways(std::size_t count, std::uint64_t seed)
        : m_random(seed)
        , m_settings(FeedScheduleSettings::forPropagationLimit(limit))
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_gateways.push_back(std::make_unique<Gateway>(FeedSchedule(m_settings, m_random)));
            m_gateways.back()->schedule.recordListing(0, m_clock.now());
        }
    }

    static constexpr Duration limit { Seconds(2) };
    static constexpr Milliseconds tick { 10 };

    void makeReader(std::size_t index, bool isReader = true)
    {
        m_gateways[index]->schedule.setRole(isReader ? FeedRole::Reader : FeedRole::Follower);
        m_gateways[index]->isReader = isReader;
    }
    void setFollower(std::size_t index) { makeReader(index, false); }
    void freeze(std::size_t index, bool frozen) { m_gateways[index]->frozen = frozen; }
    void setSendsNothing(std::size_t index) { m_gateways[index]->sendsNothing = true; }
    void setLoss(double share) { m_loss = share; }
    void setStoreAway(bool away) { m_storeAway = away; }

    void change() { m_changes.push_back({ .revision = ++m_revision, .madeAt = m_clock.now() }); }
    void writeElsewhere() { ++m_revision; }

    void run(Duration duration)
    {
        for (const TimePoint end = m_clock.now() + duration; m_clock.now() < end;) {
            m_clock.advance(tick);
            step(m_clock.now());
        }
    }

    /// The longest time from a change to its application at a gateway that wasn't frozen.
    Duration longestDelay() const { return m_longestDelay; }
    std::size_t reads() const { return m_reads; }
    bool allCurrent() const
    {
        return std::all_of(m_gateways.begin(), m_gateways.end(), [this](const auto &gateway) {
            return gateway->frozen || gateway->applied == m_changes.size();
        });
    }

private:
    struct Gateway
    {
        explicit Gateway(const FeedSchedule &feed)
            : schedule(feed)
        { }

        FeedSchedule schedule;
        bool isReader { false };
        bool frozen { false };
        bool sendsNothing { false };
        std::size_t applied { 0 }; ///< Number of changes.
        std::optional<TimePoint> readUntil {};
        TimePoint sentAt {};
        Duration wait {};
        TimePoint nextReportAt {};
    };

    struct Message
    {
        TimePoint arrivesAt {};
        std::size_t receiver { 0 };
        std::optional<FeedReport> report {};
        std::int64_t previousChange { 0 };
        std::vector<std::int64_t> revisions {};
    };

    void step(TimePoint now)
    {
        deliver(now);
        for (std::size_t index = 0; index < m_gateways.size(); ++index) {
            Gateway &gateway = *m_gateways[index];
            if (gateway.frozen)
                continue;
            finishRead(index, now);
            if (gateway.readUntil)
                continue;
            if (const auto wait = gateway.schedule.dueRead(now)) {
                ++m_reads;
                gateway.sentAt = now;
                gateway.wait = *wait;
                gateway.readUntil = now + *wait;
            }
            if (gateway.isReader && now >= gateway.nextReportAt)
                report(index, now);
        }
        for (const auto &gateway : m_gateways)
            checkDelays(*gateway, now);
    }

    std::size_t changesUpTo(std::int64_t revision) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_changes.begin(), m_changes.end(), [revision](const Change &change) {
                    return change.revision <= revision;
                }));
    }

    void finishRead(std::size_t index, TimePoint now)
    {
        Gateway &gateway = *m_gateways[index];
        if (!gateway.readUntil)
            return;
        if (m_storeAway) {
            gateway.readUntil.reset();
            gateway.schedule.recordFailure(now);
            return;
        }
        const std::size_t known = changesUpTo(gateway.schedule.readTo());
        const bool hasChanges = known < m_changes.size();
        if (!hasChanges && now < *gateway.readUntil)
            return;
        gateway.readUntil.reset();
        gateway.schedule.resetFailures();
        Message message { .previousChange = gateway.schedule.newestChange() };
        for (std::size_t change = known; change < m_changes.size(); ++change)
            message.revisions.push_back(m_changes[change].revision);
        gateway.schedule.recordRead(m_revision, hasChanges ? m_changes.back().revision : 0,
                                    gateway.sentAt, gateway.wait, now);
        gateway.applied = m_changes.size();
        if (gateway.isReader && hasChanges)
            sendToAll(index, message, now);
    }

    void report(std::size_t index, TimePoint now)
    {
        Gateway &gateway = *m_gateways[index];
        gateway.nextReportAt = now + Milliseconds(250);
        sendToAll(index, { .report = gateway.schedule.report(now) }, now);
    }

    void sendToAll(std::size_t sender, const Message &message, TimePoint now)
    {
        for (std::size_t receiver = 0; receiver < m_gateways.size(); ++receiver) {
            if (receiver == sender || m_gateways[sender]->sendsNothing || m_random.unit() < m_loss)
                continue;
            Message copy = message;
            copy.receiver = receiver;
            copy.arrivesAt = now + Milliseconds(1 + m_random.below(60));
            m_messages.push_back(copy);
        }
    }

    void deliver(TimePoint now)
    {
        std::deque<Message> later;
        for (const Message &message : m_messages) {
            Gateway &gateway = *m_gateways[message.receiver];
            if (message.arrivesAt > now || gateway.frozen) {
                later.push_back(message);
                continue;
            }
            if (message.report) {
                if (gateway.schedule.recordPeerReport(*message.report, now))
                    gateway.schedule.resetFailures();
                continue;
            }
            if (!gateway.schedule.canApplyAfter(message.previousChange)) {
                gateway.schedule.recordGap(message.revisions.back(), now);
                continue;
            }
            for (const std::int64_t revision : message.revisions) {
                if (!gateway.schedule.applyPeerChange(revision))
                    continue;
                // Changes are applied one by one, none left out.
                BOOST_REQUIRE_EQUAL(changesUpTo(revision), gateway.applied + 1);
                ++gateway.applied;
            }
        }
        m_messages = std::move(later);
    }

    void checkDelays(const Gateway &gateway, TimePoint now)
    {
        // `readTo` must never claim a change that was not applied.
        BOOST_REQUIRE_LE(changesUpTo(gateway.schedule.readTo()), gateway.applied);
        if (gateway.frozen || gateway.applied == m_changes.size())
            return;
        m_longestDelay = std::max(m_longestDelay, now - m_changes[gateway.applied].madeAt);
    }

    ManualClock m_clock;
    SeededRandom m_random;
    FeedScheduleSettings m_settings;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::deque<Message> m_messages;
    std::vector<Change> m_changes;
    std::int64_t m_revision { 0 };
    Duration m_longestDelay {};
    double m_loss { 0 };
    std::size_t m_reads { 0 };
    bool m_storeAway { false };
};

constexpr std::size_t gatewayCount = 21;

/// Two gateways that read the store, as during a change of the reader, and their followers.
class Group : public FollowingGateways
{
public:
    explicit Group(std::uint64_t seed)
        : FollowingGateways(gatewayCount, seed)
    {
        for (std::size_t index = 2; index < gatewayCount; ++index)
            setFollower(index);
        makeReader(0);
        makeReader(1);
    }
};

void playChanges(FollowingGateways &group, std::uint64_t seed)
{
    SeededRandom random(seed);
    for (int round = 0; round < 60; ++round) {
        for (std::uint64_t change = random.below(4); change > 0; --change)
            group.change();
        for (std::uint64_t write = random.below(4); write > 0; --write)
            group.writeElsewhere();
        group.run(Milliseconds(20 + random.below(600)));
    }
    group.run(FollowingGateways::limit);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(FeedScheduleTests, Fixture)

BOOST_AUTO_TEST_CASE(readerPollsAgainAtOnceWithoutChanges)
{
    schedule.setRole(FeedRole::Reader);
    schedule.recordListing(10, now());
    // Gateways that start together would poll alike before they hear of each other.
    BOOST_CHECK(!schedule.dueRead(now()));
    clock.advance(settings.maximumAge);
    // The first read confirms the listing for peers; the next ones wait for changes.
    BOOST_CHECK(schedule.dueRead(now()) == Duration {});
    schedule.recordRead(11, 0, now(), {}, now());
    BOOST_CHECK(schedule.dueRead(now()) == settings.readerPollWait);
    const TimePoint sentAt = now();
    clock.advance(settings.readerPollWait);
    schedule.recordRead(12, 0, sentAt, settings.readerPollWait, now());
    BOOST_CHECK(schedule.dueRead(now()) == settings.readerPollWait);
}

// When hundreds of upstreams register within a second, each change would complete a poll.
BOOST_AUTO_TEST_CASE(readerCollectsChangesThatFollowEachOther)
{
    schedule.setRole(FeedRole::Reader);
    schedule.recordListing(0, now());
    std::int64_t revision = 0;
    int reads = 0;
    for (int change = 0; change < 200; ++change) {
        ++revision;
        if (schedule.dueRead(now())) {
            ++reads;
            schedule.recordRead(revision, revision, now(), settings.readerPollWait, now());
        }
        clock.advance(Milliseconds(5));
    }
    BOOST_CHECK_LE(reads, 1 + Seconds(1) / settings.changeSpacing);
}

BOOST_AUTO_TEST_CASE(followerReadsOnlyWhatPeersReportAsMissing)
{
    schedule.setRole(FeedRole::Follower);
    schedule.recordListing(10, now());
    for (int report = 0; report < 40; ++report) {
        clock.advance(Milliseconds(250));
        schedule.recordPeerReport({ .newestChange = 10, .readTo = 20 + report }, now());
        BOOST_CHECK(!schedule.dueRead(now()));
    }
    schedule.recordPeerReport({ .newestChange = 70, .readTo = 71 }, now());
    clock.advance(settings.catchUpSpread);
    BOOST_CHECK(schedule.dueRead(now()) == Duration {});
    schedule.recordRead(71, 70, now(), {}, now());
    BOOST_CHECK(!schedule.dueRead(now()));
}

// The report of a change may overtake the change itself.
BOOST_AUTO_TEST_CASE(gapThatAPeersChangesCloseNeedsNoRead)
{
    schedule.setRole(FeedRole::Follower);
    schedule.recordListing(10, now());
    schedule.recordPeerReport({ .newestChange = 12, .readTo = 12 }, now());
    clock.advance(settings.catchUpSpread / 4);
    BOOST_CHECK(!schedule.dueRead(now()));
    BOOST_CHECK(schedule.applyPeerChange(12));
    clock.advance(settings.catchUpSpread);
    BOOST_CHECK(!schedule.dueRead(now()));
}

BOOST_AUTO_TEST_CASE(followerReadsWhenNoFreshReportArrives)
{
    schedule.setRole(FeedRole::Follower);
    schedule.recordListing(10, now());
    clock.advance(settings.maximumAge);
    BOOST_CHECK(schedule.dueRead(now()) == Duration {});
    // A peer whose own reads fail reports an old confirmation.
    schedule.recordPeerReport(
            { .newestChange = 10, .readTo = 10, .age = settings.maximumAge + Milliseconds(1) },
            now());
    BOOST_CHECK(schedule.dueRead(now()).has_value());
    schedule.recordPeerReport({ .newestChange = 10, .readTo = 10 }, now());
    BOOST_CHECK(!schedule.dueRead(now()));
}

// A process that was paused finds a response in its buffer that the store sent before the pause.
BOOST_AUTO_TEST_CASE(responseThatWaitedInABufferConfirmsNothingNewer)
{
    schedule.recordListing(10, now());
    const TimePoint sentAt = now();
    clock.advance(Seconds(3));
    schedule.recordRead(10, 0, sentAt, settings.readerPollWait, now());
    BOOST_CHECK(schedule.report(now()).age >= Seconds(3) - settings.readerPollWait);
}

BOOST_AUTO_TEST_CASE(olderReportsAndChangesAreIgnored)
{
    schedule.recordListing(50, now());
    schedule.recordPeerReport({ .newestChange = 20, .readTo = 30 }, now());
    BOOST_CHECK_EQUAL(schedule.readTo(), 50);
    BOOST_CHECK(!schedule.applyPeerChange(40));
    BOOST_CHECK(schedule.applyPeerChange(60));
    BOOST_CHECK(!schedule.applyPeerChange(60));
    BOOST_CHECK_EQUAL(schedule.readTo(), 60);
}

// While the store is away, hundreds of followers must not use up its calls, which are refused.
BOOST_AUTO_TEST_CASE(followerRetriesRarely)
{
    schedule.setRole(FeedRole::Follower);
    schedule.recordListing(10, now());
    int reads = 0;
    for (Duration elapsed {}; elapsed < Seconds(8); elapsed += Milliseconds(50)) {
        clock.advance(Milliseconds(50));
        if (schedule.dueRead(now())) {
            ++reads;
            schedule.recordFailure(now());
        }
    }
    BOOST_CHECK_GE(reads, 8);
    BOOST_CHECK_LE(reads, 11);
}

BOOST_AUTO_TEST_CASE(groupStaysWithinTheLimitWithFewReads)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Group group(seed);
        playChanges(group, seed);
        BOOST_CHECK(group.allCurrent());
        BOOST_CHECK_LE(toMilliseconds(group.longestDelay()),
                       toMilliseconds(FollowingGateways::limit));
    }
    Group calm(1);
    calm.run(Seconds(30));
    // The followers add nothing.
    BOOST_CHECK_LE(calm.reads(), 2 * (Seconds(30) / settings.readerPollWait + 1));
}

BOOST_AUTO_TEST_CASE(groupStaysWithinTheLimitWhenMessagesAreLost)
{
    for (const double loss : { 0.05, 0.3, 0.9, 1.0 }) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Group group(seed);
            group.setLoss(loss);
            playChanges(group, seed);
            BOOST_CHECK(group.allCurrent());
            BOOST_CHECK_LE(toMilliseconds(group.longestDelay()),
                           toMilliseconds(FollowingGateways::limit));
        }
    }
}

BOOST_AUTO_TEST_CASE(groupStaysWithinTheLimitWithoutItsReaders)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Group frozen(seed);
        frozen.run(Milliseconds(700 + 37 * seed));
        frozen.freeze(0, true);
        frozen.freeze(1, true);
        playChanges(frozen, seed);
        frozen.freeze(0, false);
        frozen.freeze(1, false);
        frozen.run(FollowingGateways::limit);
        BOOST_CHECK(frozen.allCurrent());

        Group cutOneWay(seed);
        cutOneWay.setSendsNothing(0);
        cutOneWay.setSendsNothing(1);
        playChanges(cutOneWay, seed);
        BOOST_CHECK(cutOneWay.allCurrent());
        BOOST_CHECK_LE(toMilliseconds(cutOneWay.longestDelay()),
                       toMilliseconds(FollowingGateways::limit));
    }
}

BOOST_AUTO_TEST_CASE(groupIsCurrentSoonAfterTheStoreReturns)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Group group(seed);
        group.run(Seconds(1));
        group.setStoreAway(true);
        group.run(Seconds(8));
        group.change();
        group.setStoreAway(false);
        group.run(FollowingGateways::limit);
        BOOST_CHECK(group.allCurrent());
    }
}

BOOST_AUTO_TEST_SUITE_END()
