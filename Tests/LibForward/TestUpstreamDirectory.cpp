#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

UpstreamRecord upstream(const std::string &id, UpstreamState state = UpstreamState::Ready)
{
    return { .id = id, .service = "s", .address = "10.0.0.1:80", .capacity = 4, .state = state };
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamDirectoryTests)

BOOST_AUTO_TEST_CASE(leavingUpstreamsAreNotReady)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.put(upstream("b"));
    BOOST_CHECK_EQUAL(directory.ready("s").size(), 2);
    directory.put(upstream("a", UpstreamState::Leaving));
    BOOST_REQUIRE_EQUAL(directory.ready("s").size(), 1);
    BOOST_CHECK_EQUAL(directory.ready("s").front()->id, "b");
}

BOOST_AUTO_TEST_CASE(removalIsImmediateWhileTheStoreIsAvailable)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.remove("a", start);
    BOOST_CHECK(directory.ready("s").empty());
}

BOOST_AUTO_TEST_CASE(expiredEntriesAreKeptUntilTheGracePeriodEnds)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.put(upstream("b"));
    directory.recordStoreFailure();
    directory.recordStoreResponse(start);
    directory.remove("a", start + Milliseconds(100));
    directory.remove("b", start + Milliseconds(100));
    BOOST_CHECK_EQUAL(directory.ready("s").size(), 2);
    directory.put(upstream("b"));
    BOOST_CHECK(directory.expire(start + Milliseconds(1'900), start + Milliseconds(1'900))
                        .removed.empty());
    BOOST_CHECK(directory.expire(start + Milliseconds(2'000), start + Milliseconds(2'000)).removed
                == std::vector<std::string> { "a" });
    BOOST_REQUIRE_EQUAL(directory.ready("s").size(), 1);
    BOOST_CHECK_EQUAL(directory.ready("s").front()->id, "b");
}

BOOST_AUTO_TEST_CASE(leavingUpstreamsAreRemovedWithoutGracePeriod)
{
    UpstreamDirectory directory;
    directory.put(upstream("a", UpstreamState::Leaving));
    directory.recordStoreFailure();
    directory.remove("a", start);
    BOOST_CHECK(directory.find("a") == nullptr);
}

BOOST_AUTO_TEST_CASE(replaceAllRemovesUnlistedUpstreams)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.put(upstream("b"));
    directory.replaceAll({ upstream("b"), upstream("c") }, start);
    BOOST_CHECK(directory.find("a") == nullptr);
    BOOST_CHECK_EQUAL(directory.ready("s").size(), 2);
}

// The store could not be reached while the address was given to another process.
// Guards against requests to upstreams that have left, and a mass removal of those that are up,
// where the store came back from an older copy.
BOOST_AUTO_TEST_CASE(anOlderCopyOfTheStoreReturnsNoUpstreamThatLeft)
{
    const auto process = [](const std::string &id, std::int64_t startedMs,
                            UpstreamState state = UpstreamState::Ready) {
        UpstreamRecord record = upstream(id, state);
        record.startedMs = startedMs;
        return record;
    };
    UpstreamDirectory directory;
    for (const char *id : { "gone", "leaving", "steady", "new" })
        directory.put(process(id, 1));
    directory.put(process("leaving", 1, UpstreamState::Leaving));
    directory.remove("gone", start);
    directory.recordStoreReturn();
    const TimePoint returned = start + Seconds(10);
    directory.replaceAll({ process("gone", 1), process("leaving", 1), process("steady", 1),
                           process("restarted", 2) },
                         returned);
    BOOST_CHECK(directory.exclusion("gone") == UpstreamExclusion::NotListed);
    BOOST_CHECK(directory.exclusion("leaving") == UpstreamExclusion::Leaving);
    for (const char *id : { "steady", "new", "restarted" })
        BOOST_CHECK(directory.isReady(id));
    // It registers again in time, or is gone.
    const TimePoint late = returned + UpstreamDirectory::returnTimeout;
    directory.expire(late - Milliseconds(1), late);
    BOOST_CHECK(directory.isReady("new"));
    directory.expire(late, late);
    BOOST_CHECK(!directory.isReady("new"));
    // A later process has the same id, and a process that was removed writes again.
    directory.put(process("leaving", 3));
    directory.put(process("gone", 1));
    BOOST_CHECK(directory.isReady("leaving"));
    BOOST_CHECK(directory.isReady("gone"));
    // Only the first listing is of the older copy.
    directory.replaceAll({ process("steady", 1) }, late);
    BOOST_CHECK_EQUAL(directory.size(), 1);
}

BOOST_AUTO_TEST_CASE(misdirectedUpstreamIsNotReadyUntilItsRecordChanges)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.put(upstream("b"));
    directory.recordMisdirection("a", start);
    BOOST_REQUIRE_EQUAL(directory.ready("s").size(), 1);
    BOOST_CHECK_EQUAL(directory.ready("s").front()->id, "b");
    directory.put(upstream("a")); // The same record says nothing new.
    BOOST_CHECK_EQUAL(directory.ready("s").size(), 1);
    UpstreamRecord restarted = upstream("a");
    restarted.address = "10.0.0.2:80";
    directory.put(restarted);
    BOOST_CHECK_EQUAL(directory.ready("s").size(), 2);
}

BOOST_AUTO_TEST_CASE(misdirectionEndsByItself)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.recordMisdirection("a", start);
    directory.expire(start + UpstreamDirectory::misdirectionTimeout - Milliseconds(1),
                     start + UpstreamDirectory::misdirectionTimeout - Milliseconds(1));
    BOOST_CHECK(directory.ready("s").empty());
    directory.expire(start + UpstreamDirectory::misdirectionTimeout,
                     start + UpstreamDirectory::misdirectionTimeout);
    BOOST_CHECK_EQUAL(directory.ready("s").size(), 1);
}

// A gateway that lost nothing must not keep removed upstreams because a peer lost the store.
BOOST_AUTO_TEST_CASE(removalIsImmediateIfThePeersReachedTheStore)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.recordStoreResponse(start);
    for (int elapsedMs = 500; elapsedMs <= 6'000; elapsedMs += 500) {
        directory.recordStoreFailure();
        directory.recordStoreResponse(start + Milliseconds(elapsedMs));
    }
    BOOST_CHECK(!directory.remove("a", start + Milliseconds(6'001)));
    BOOST_CHECK(directory.find("a") == nullptr);
}

// A gateway that relies on peers may not have called the store during the outage.
// The news of a registration in the last moments of the grace period takes a while.
BOOST_AUTO_TEST_CASE(expiredEntriesAreKeptUntilTheirRegistrationsWouldBeKnown)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.put(upstream("b"));
    directory.recordStoreFailure();
    directory.recordStoreResponse(start);
    directory.remove("a", start);
    const TimePoint end = start + Seconds(2);
    directory.recordStoreResponse(end);
    BOOST_CHECK(directory.expire(end + Milliseconds(499), end - Milliseconds(1)).removed.empty());
    directory.remove("b", end + Milliseconds(499)); // Did not expire in the outage.
    BOOST_CHECK_EQUAL(directory.size(), 1);
    BOOST_CHECK_EQUAL(
            directory.expire(end + Milliseconds(500), end - Milliseconds(1)).removed.size(), 1);
}

BOOST_AUTO_TEST_CASE(expiredEntriesAreKeptIfNoGatewayReachedTheStore)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.put(upstream("b", UpstreamState::Leaving));
    directory.recordStoreResponse(start);
    directory.recordStoreResponse(start + Seconds(3));
    BOOST_CHECK(directory.remove("a", start + Seconds(3)));
    BOOST_CHECK(!directory.remove("b", start + Seconds(3)));
    BOOST_CHECK_EQUAL(directory.size(), 1);
    BOOST_CHECK(directory.expire(start + Milliseconds(4'900), start + Milliseconds(4'900))
                        .removed.empty());
    BOOST_CHECK(directory.expire(start + Seconds(5), start + Seconds(5)).removed
                == std::vector<std::string> { "a" });
}

// Guards against upstreams that are dropped because a peer of an earlier version doesn't know that
// they may be cold, and against decisions that are made anew with each row of a cold upstream.
BOOST_AUTO_TEST_CASE(coldTimeOfARecord)
{
    UpstreamRecord record = upstream("a");
    BOOST_CHECK(UpstreamRecord::parse(record.toJson()) == record);
    UpstreamDirectory directory;
    directory.put(record);
    const std::uint64_t generation = directory.generation();
    record.coldLeft = Milliseconds(1'200);
    BOOST_CHECK(UpstreamRecord::parse(record.toJson()) == record);
    directory.put(record);
    BOOST_CHECK_EQUAL(directory.generation(), generation);
    BOOST_CHECK(directory.find("a")->coldLeft == Milliseconds(1'200));
}

// Guards against paths around an evacuation: a paused upstream of the zone that is waited for, one
// that registers during the evacuation, and one whose misdirection ends.
BOOST_AUTO_TEST_CASE(upstreamsOfEvacuatedZonesAreNotReady)
{
    const auto in = [](const std::string &zone, const std::string &id) {
        UpstreamRecord record = upstream(id);
        record.availabilityZone = zone;
        return record;
    };
    UpstreamDirectory directory;
    for (const char *id : { "a1", "a2", "a3" })
        directory.put(in("a", id));
    directory.put(in("b", "b1"));
    directory.recordMisdirection("a2", start);
    directory.recordPause("a3", 0, Milliseconds(10), start);
    BOOST_CHECK(directory.earliestReturn("s").has_value());
    const std::uint64_t generation = directory.generation();
    directory.applyEvacuations({ .zones = { { .zone = "a", .revision = 5, .evacuated = true } } });
    BOOST_CHECK_GT(directory.generation(), generation);
    directory.put(in("a", "a4"));
    directory.expire(start + Seconds(6), start + Seconds(6));
    BOOST_REQUIRE_EQUAL(directory.ready("s").size(), 1);
    BOOST_CHECK_EQUAL(directory.ready("s").front()->id, "b1");
    BOOST_CHECK(!directory.isReady("a4"));
    BOOST_CHECK(directory.exclusion("a1") == UpstreamExclusion::Evacuated);
    BOOST_CHECK(directory.exclusion("a9") == UpstreamExclusion::NotListed);
    BOOST_CHECK(!directory.earliestReturn("s"));
    BOOST_CHECK_EQUAL(directory.sizeOfZone("a"), 4);
    directory.applyEvacuations({ .zones = { { .zone = "a", .revision = 6, .evacuated = false } } });
    BOOST_CHECK_EQUAL(directory.ready("s").size(), 5);
}

BOOST_AUTO_TEST_SUITE_END()
