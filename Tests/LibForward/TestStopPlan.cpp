#include "lavenderpick/Forward/StopPlan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

namespace Lavenderpick {

namespace {

const TimePoint start { Seconds(1'000) };
constexpr Duration grace { Seconds(8) };

// One gateway of a rolling restart: streams that were open end `drain` after the order to stop.
struct RollingGateway
{
    StopPlan plan { grace };
    TimePoint stopAt;
    Duration drain;
    std::optional<TimePoint> readyAgain {};
    std::vector<TimePoint> open {}; ///< Ends of requests that were taken while stopping.

    bool isReady(TimePoint now) const
    {
        return !plan.isStopping() || (readyAgain && now >= *readyAgain);
    }
    bool runs(TimePoint) const { return !readyAgain; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(StopPlanTests)

BOOST_AUTO_TEST_CASE(takesCallersUntilTheBalancerKnows)
{
    StopPlan plan(grace);
    BOOST_CHECK(plan.acceptsConnections(start, true));
    BOOST_CHECK(plan.mayTake(start, Seconds(60)));
    plan.begin(start);
    BOOST_CHECK(plan.acceptsConnections(start + Milliseconds(2'400), true));
    BOOST_CHECK(plan.mayTake(start + Milliseconds(2'400), Seconds(60)));
    BOOST_CHECK(!plan.acceptsConnections(start + Milliseconds(2'500), true));
    BOOST_CHECK(!plan.isOver(start + Milliseconds(2'400), false));
    BOOST_CHECK(plan.isOver(start + Milliseconds(2'500), false));
    BOOST_CHECK(!plan.isOver(start + Milliseconds(2'500), true));
    BOOST_CHECK(plan.isOver(start + grace, true));
}

BOOST_AUTO_TEST_CASE(whatItTakesWithoutAPeerEndsBeforeTheKill)
{
    StopPlan plan(grace);
    plan.begin(start);
    const TimePoint late = start + Seconds(5);
    BOOST_CHECK(plan.acceptsConnections(late, false));
    BOOST_CHECK(plan.mayTake(late, Milliseconds(1'300)));
    BOOST_CHECK(!plan.mayTake(late, Milliseconds(1'301)));
    BOOST_CHECK(!plan.acceptsConnections(start + grace, false));
}

// Three gateways are told to stop two seconds apart, while their streams take over seven seconds to
// end. Requests of a fifth of a second arrive every 20 ms.
BOOST_AUTO_TEST_CASE(overlappingStopsLeaveCallersAGateway)
{
    constexpr Duration restart { Milliseconds(700) };
    constexpr Duration work { Milliseconds(200) };
    std::vector<RollingGateway> gateways;
    for (int index = 0; index < 3; ++index)
        gateways.push_back({ .stopAt = start + index * Seconds(2), .drain = Milliseconds(7'300) });
    int unserved = 0;
    int cut = 0;
    for (TimePoint now = start; now < start + Seconds(15); now += Milliseconds(20)) {
        for (RollingGateway &gateway : gateways) {
            if (now >= gateway.stopAt && !gateway.plan.isStopping())
                gateway.plan.begin(now);
            std::erase_if(gateway.open, [now](TimePoint end) { return end <= now; });
            const bool serves = now < gateway.stopAt + gateway.drain || !gateway.open.empty();
            if (!gateway.readyAgain && gateway.plan.isOver(now, serves)) {
                cut += static_cast<int>(gateway.open.size());
                gateway.readyAgain = now + restart;
            }
        }
        const bool anyReady = std::any_of(gateways.begin(), gateways.end(),
                                          [now](const auto &entry) { return entry.isReady(now); });
        const auto taking = std::find_if(gateways.begin(), gateways.end(), [&](const auto &entry) {
            return entry.isReady(now)
                    || (entry.runs(now) && entry.plan.acceptsConnections(now, anyReady)
                        && entry.plan.mayTake(now, work));
        });
        if (taking == gateways.end())
            ++unserved;
        else if (!taking->isReady(now))
            taking->open.push_back(now + work);
    }
    BOOST_CHECK_EQUAL(unserved, 0);
    BOOST_CHECK_EQUAL(cut, 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Lavenderpick
