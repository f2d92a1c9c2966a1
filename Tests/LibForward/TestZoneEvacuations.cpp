#include "lavenderpick/Forward/StorePosition.h"
#include "lavenderpick/Forward/ZoneEvacuations.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

ZoneEvacuation began(const std::string &zone, std::int64_t revision)
{
    return { .zone = zone, .revision = revision, .evacuated = true };
}

ZoneEvacuation ended(const std::string &zone, std::int64_t revision)
{
    return { .zone = zone, .revision = revision, .evacuated = false };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneEvacuationsTests)

// Guards against an update that arrives late and undoes a newer one: changes pass through the store
// and several peers.
BOOST_AUTO_TEST_CASE(theOrderOfUpdatesDoesNotMatter)
{
    std::vector<EvacuationUpdate> updates {
        { .zones = { began("a", 3) } },
        { .zones = { ended("a", 5) } },
        { .zones = { began("a", 6), began("b", 4) } },
        { .zones = { began("c", 8) }, .listedAt = 8 }, // Lacks "a" and "b".
        { .zones = { began("b", 9) } },
        { .zones = { began("d", 7) } }, // Ended before the listing, which lacks it.
    };
    std::vector<std::size_t> order { 0, 1, 2, 3, 4, 5 };
    do {
        ZoneEvacuations evacuations;
        for (const std::size_t index : order)
            evacuations.apply(updates[index]);
        BOOST_TEST_REQUIRE(!evacuations.isEvacuated("a"));
        BOOST_TEST_REQUIRE(evacuations.isEvacuated("b"));
        BOOST_TEST_REQUIRE(evacuations.isEvacuated("c"));
        BOOST_TEST_REQUIRE(!evacuations.isEvacuated("d"));
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against a store that dropped its history: only the listing shows that a row is gone.
BOOST_AUTO_TEST_CASE(aListingEndsEvacuationsWhoseRowIsMissing)
{
    ZoneEvacuations evacuations;
    evacuations.apply({ .zones = { began("a", 3), began("b", 4), began("c", 9) } });
    const auto result = evacuations.apply({ .zones = { began("b", 4) }, .listedAt = 8 });
    BOOST_CHECK(result.changes == std::vector { ended("a", 8) });
    BOOST_CHECK(
            (evacuations.entries() == std::vector { ended("a", 8), began("b", 4), began("c", 9) }));
    BOOST_CHECK_EQUAL(evacuations.evacuatedCount(), 2);
    // A listing that was read before and waited in a buffer says nothing.
    BOOST_CHECK(!evacuations.apply({ .listedAt = 6 }).isNews);
    BOOST_CHECK(evacuations.isEvacuated("b"));
    // A peer that has lost the store is told of the end that it missed.
    BOOST_CHECK(evacuations.apply({ .zones = { began("d", 2) } }).isNews);
    BOOST_CHECK(evacuations.entries().back() == ended("d", 8));
}

// Guards against log lines and datagrams for what is known already.
// Guards against requests to an evacuated zone after the store came back from a copy that is older
// than the evacuation.
BOOST_AUTO_TEST_CASE(anOlderCopyOfTheStoreEndsNoEvacuation)
{
    const auto inEra = [](std::int64_t era, std::int64_t revision) {
        return StorePosition { era, revision }.toNumber();
    };
    ZoneEvacuations present;
    present.apply({ .zones = { began("a", inEra(1, 90)) }, .listedAt = inEra(1, 95) });
    present.apply({ .zones = {}, .listedAt = inEra(2, 80) });
    BOOST_CHECK(present.isEvacuated("a"));
    // A gateway that started after the return learns of it from a peer.
    ZoneEvacuations started;
    started.apply({ .zones = {}, .listedAt = inEra(2, 80) });
    started.apply({ .zones = present.entries() });
    BOOST_CHECK(started.isEvacuated("a"));
    // The operator's word after the return holds, with a revision that was given out before too.
    for (ZoneEvacuations *evacuations : { &present, &started }) {
        evacuations->apply({ .zones = { ended("a", inEra(2, 85)) } });
        BOOST_CHECK(!evacuations->isEvacuated("a"));
    }
}

BOOST_AUTO_TEST_CASE(onlyNewsIsReported)
{
    ZoneEvacuations evacuations;
    BOOST_CHECK(evacuations.apply({ .zones = { began("a", 3) } }).changes.size() == 1);
    BOOST_CHECK(evacuations.apply({ .zones = { began("a", 3) } }) == ZoneEvacuations::Result {});
    const auto renewed = evacuations.apply({ .zones = { began("a", 5) } });
    BOOST_CHECK(renewed.isNews);
    BOOST_CHECK(renewed.changes.empty());
}

// Guards against rows or peers that make a gateway keep and send any number of zones.
BOOST_AUTO_TEST_CASE(zonesBeyondTheLimitsAreIgnored)
{
    ZoneEvacuations evacuations;
    EvacuationUpdate update;
    for (std::size_t zone = 0; zone <= ZoneEvacuations::maximumZones; ++zone)
        update.zones.push_back(began("z" + std::to_string(100 + zone), 5));
    const auto result = evacuations.apply(update);
    BOOST_CHECK(result.ignored == std::vector<std::string> { "z164" });
    BOOST_CHECK_EQUAL(evacuations.evacuatedCount(), ZoneEvacuations::maximumZones);
    BOOST_CHECK(!evacuations.isEvacuated("z164"));
    // Known zones still change.
    BOOST_CHECK_EQUAL(evacuations.apply({ .zones = { ended("z100", 6) } }).changes.size(), 1);
    ZoneEvacuations others;
    const std::string longName(ZoneEvacuations::maximumZoneBytes + 1, 'z');
    BOOST_CHECK_EQUAL(
            others.apply({ .zones = { began(longName, 1), began("", 1) } }).ignored.size(), 2);
    BOOST_CHECK(others.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
