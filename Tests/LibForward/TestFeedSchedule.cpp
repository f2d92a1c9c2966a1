#include "FollowingGateways.h"
#include "lavenderpick/Forward/ControlPlaneSource.h"
#include "lavenderpick/Forward/FeedSchedule.h"

#include <boost/test/unit_test.hpp>

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

// Guards against reads without a pause, as fast as the store responds, where it doesn't wait.
BOOST_AUTO_TEST_CASE(pollsThatReturnAtOnceWithoutChangesAreSpaced)
{
    for (const FeedRole role : { FeedRole::Alone, FeedRole::Reader }) {
        FeedSchedule poller(settings, random);
        poller.setRole(role);
        poller.recordListing(10, now());
        clock.advance(settings.maximumAge);
        int reads = 0;
        const TimePoint end = now() + Seconds(15);
        while (now() < end) {
            if (const auto wait = poller.dueRead(now())) {
                ++reads;
                poller.recordRead(10, 0, now(), *wait, now());
            }
            clock.advance(Milliseconds(1));
        }
        BOOST_CHECK_LE(reads, Seconds(15) / settings.changeSpacing + 2);
    }
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
// Guards against a gateway that reads on from a revision which the store has no more, or has given
// out again, and against peers' reports of the former era that confirm what it lacks.
BOOST_AUTO_TEST_CASE(newErasBeginWithAListing)
{
    const auto inEra = [](std::int64_t era, std::int64_t revision) {
        return StorePosition { era, revision }.toNumber();
    };
    BOOST_CHECK(!schedule.recordEra(1, now())); // Nothing was listed yet.
    schedule.recordListing(inEra(1, 900), now());
    BOOST_CHECK(!schedule.recordEra(1, now()));
    for (const FeedRole role : { FeedRole::Follower, FeedRole::Reader }) {
        FeedSchedule other = schedule;
        other.setRole(role);
        BOOST_CHECK(other.recordEra(2, now()));
        BOOST_CHECK_EQUAL(other.isRelistingDue(now()), role == FeedRole::Reader);
        BOOST_CHECK(other.isRelistingDue(now() + settings.relistSpread));
        other.recordListing(inEra(2, 850), now());
        BOOST_CHECK(!other.recordEra(2, now()));
        BOOST_CHECK(!other.isRelistingDue(now() + settings.relistSpread));
        BOOST_CHECK_EQUAL(other.readTo(), inEra(2, 850));
        const FeedReport former { .newestChange = inEra(1, 900), .readTo = inEra(1, 900) };
        BOOST_CHECK(!other.recordPeerReport(former, now()));
        const FeedReport current { .newestChange = inEra(2, 840), .readTo = inEra(2, 860) };
        BOOST_CHECK(other.recordPeerReport(current, now()));
        BOOST_CHECK_EQUAL(other.readTo(), inEra(2, 860));
    }
}

BOOST_AUTO_TEST_CASE(positionsAreOrderedByEraFirst)
{
    const std::vector<StorePosition> ascending {
        {},
        { 0, 5 },
        { 0, StorePosition::highestRevision },
        { 1, 0 },
        { 1, 7 },
        { 2, 6 },
        { StorePosition::highestEra, StorePosition::highestRevision },
    };
    for (std::size_t index = 0; index < ascending.size(); ++index) {
        const std::int64_t number = ascending[index].toNumber();
        BOOST_CHECK(StorePosition::fromNumber(number) == ascending[index]);
        if (index > 0)
            BOOST_CHECK_GT(number, ascending[index - 1].toNumber());
    }
    BOOST_CHECK_EQUAL((StorePosition { 0, 5 }.toNumber()), 5);
    BOOST_CHECK((StorePosition::fromNumber(-1) == StorePosition {}));
}

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

// A gateway that got only a part of a transaction would take the rest for known.
BOOST_AUTO_TEST_CASE(transactionsAreNotParted)
{
    UpstreamChangeSet changes;
    for (const std::int64_t revision : { 1, 2, 2, 2, 5, 5 })
        changes.entries.push_back({ .revision = revision });
    const std::vector<std::size_t> ends { 0, 1, 4, 4, 4, 6, 6, 6 };
    for (std::size_t index = 0; index < ends.size(); ++index)
        BOOST_CHECK_EQUAL(changes.endOfTransaction(index), ends[index]);
}

BOOST_AUTO_TEST_SUITE_END()
