#include "FollowingGateways.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

constexpr Duration drainLimit { Seconds(2) };
/// A gateway that was turned away is bound by the limits again this long after.
constexpr Duration contactLimit { Seconds(3) };

/// The larger groups take long to play, so they get fewer seeds.
std::uint64_t seedsFor(std::size_t gateways)
{
    return gateways > 64 ? 2 : 8;
}

/// A group of any size: below eight gateways each reads for itself, else the first for all.
class RemovalGroup : public FollowingGateways
{
public:
    RemovalGroup(std::size_t gateways, std::uint64_t seed, double loss)
        : FollowingGateways(gateways, seed)
    {
        if (gateways >= 8) {
            for (std::size_t index = 0; index < gateways; ++index)
                makeReader(index, index == 0);
        }
        setReportsDuringReads();
        setLoss(seed % 2 == 0 ? loss : 0.0);
        change("kept");
        change("removed");
        run(Seconds(3));
    }
};

/// Runs the group for the duration; requires that each gateway offers the upstream all the while.
void runOffering(FollowingGateways &group, Duration duration, const std::string &id)
{
    for (Duration elapsed {}; elapsed < duration; elapsed += FollowingGateways::tick) {
        group.run(FollowingGateways::tick);
        for (std::size_t index = 0; index < group.count(); ++index)
            BOOST_REQUIRE(group.offers(index, id));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RemovalTests)

// A removal was delayed at all gateways because the one that reads for them had lost the store.
BOOST_AUTO_TEST_CASE(gatewaysThatLostNothingApplyRemovalsInTime)
{
    for (const std::size_t gateways : { 9, 31, 103, 330 }) {
        for (std::uint64_t seed = 1; seed <= seedsFor(gateways); ++seed) {
            RemovalGroup group(gateways, seed, 0.3);
            SeededRandom random(seed);
            // The reader is turned away, for long or again and again; another takes over late or
            // not at all.
            const bool again = random.below(2) == 0;
            const bool replaced = random.below(2) == 0;
            for (int time = 0; time < (again ? 6 : 1); ++time) {
                group.setTurnedAway(0, true);
                group.run(again ? Milliseconds(100 + random.below(600))
                                : Milliseconds(2'000 + random.below(4'000)));
                if (!again)
                    group.remove("removed");
                else if (time == 3)
                    group.remove("removed");
                if (replaced && time == 0) {
                    group.makeReader(0, false);
                    group.makeReader(1);
                }
                group.run(Milliseconds(50 + random.below(300)));
                group.setTurnedAway(0, false);
                if (time >= 3 || !again)
                    break;
                group.run(Milliseconds(300 + random.below(700)));
            }
            group.run(drainLimit - Milliseconds(50));
            for (std::size_t index = 1; index < gateways; ++index)
                BOOST_REQUIRE(!group.offers(index, "removed"));
            group.run(contactLimit - drainLimit);
            BOOST_CHECK(!group.offers(0, "removed"));
            BOOST_CHECK(group.offers(0, "kept"));
        }
    }
}

BOOST_AUTO_TEST_CASE(gatewaysThatWereTurnedAwayApplyRemovalsInTime)
{
    for (const std::size_t gateways : { 1, 3, 9, 31, 103, 330 }) {
        for (std::uint64_t seed = 1; seed <= seedsFor(gateways); ++seed) {
            RemovalGroup group(gateways, seed, 0.3);
            SeededRandom random(seed);
            std::vector<std::size_t> turnedAway;
            for (std::size_t index = 0; index < gateways; ++index) {
                if (index == 0 || random.below(3) == 0)
                    turnedAway.push_back(index);
            }
            const auto setTurnedAway = [&](bool away) {
                for (const std::size_t index : turnedAway)
                    group.setTurnedAway(index, away);
            };
            setTurnedAway(true);
            group.run(Milliseconds(1'000 + random.below(7'000)));
            group.remove("removed");
            for (std::uint64_t time = random.below(5); time > 0; --time) {
                setTurnedAway(false);
                group.run(Milliseconds(100 + random.below(500)));
                setTurnedAway(true);
                group.run(Milliseconds(100 + random.below(500)));
            }
            setTurnedAway(false);
            group.run(contactLimit);
            for (std::size_t index = 0; index < gateways; ++index)
                BOOST_REQUIRE(!group.offers(index, "removed"));
        }
    }
}

// Entries expire while the store is away, although their upstreams are alive.
BOOST_AUTO_TEST_CASE(allGatewaysKeepUpstreamsWhoseEntriesExpiredInAnOutage)
{
    for (const std::size_t gateways : { 1, 3, 9, 31, 103, 330 }) {
        for (std::uint64_t seed = 1; seed <= seedsFor(gateways); ++seed) {
            RemovalGroup group(gateways, seed, 0.05);
            SeededRandom random(seed);
            const Duration outage = Milliseconds(2'500 + random.below(4'000));
            group.setStoreAway(true);
            group.run(outage);
            group.remove("kept");
            group.remove("removed");
            if (gateways >= 8 && random.below(2) == 0) {
                group.makeReader(0, false);
                group.makeReader(gateways - 1);
            }
            group.setStoreAway(false);
            runOffering(group, Milliseconds(1'900), "kept");
            group.change("kept");
            runOffering(group, Seconds(3), "kept");
            for (std::size_t index = 0; index < gateways; ++index)
                BOOST_REQUIRE(!group.offers(index, "removed"));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
