#include "lavenderpick/Forward/GracefulShutdown.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

namespace Lavenderpick {

namespace {

const TimePoint start { Seconds(1'000) };
constexpr Duration gracePeriod { Seconds(8) };

// A gateway in a rolling restart. Streams open at the order to stop end `drain` later.
struct RestartingGateway
{
    GracefulShutdown shutdown { gracePeriod };
    TimePoint stopAt;
    Duration drain;
    std::optional<TimePoint> readyAgain {};
    std::vector<TimePoint> open {}; ///< End times of requests accepted while stopping.

    bool isReady(TimePoint now) const
    {
        return !shutdown.isStopping() || (readyAgain && now >= *readyAgain);
    }
    bool isRunning(TimePoint) const { return !readyAgain; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(GracefulShutdownTests)

BOOST_AUTO_TEST_CASE(acceptsRequestsUntilDeregistered)
{
    GracefulShutdown shutdown(gracePeriod);
    BOOST_CHECK(shutdown.acceptsConnections(start, true));
    BOOST_CHECK(shutdown.mayAcceptRequest(start, Seconds(60)));
    shutdown.begin(start);
    BOOST_CHECK(shutdown.acceptsConnections(start + Milliseconds(2'400), true));
    BOOST_CHECK(shutdown.mayAcceptRequest(start + Milliseconds(2'400), Seconds(60)));
    BOOST_CHECK(!shutdown.acceptsConnections(start + Milliseconds(2'500), true));
    BOOST_CHECK(!shutdown.shouldExit(start + Milliseconds(2'400), false));
    BOOST_CHECK(shutdown.shouldExit(start + Milliseconds(2'500), false));
    BOOST_CHECK(!shutdown.shouldExit(start + Milliseconds(2'500), true));
    BOOST_CHECK(shutdown.shouldExit(start + gracePeriod, true));
}

BOOST_AUTO_TEST_CASE(requestsAcceptedWithoutAPeerEndBeforeTheKill)
{
    GracefulShutdown shutdown(gracePeriod);
    shutdown.begin(start);
    const TimePoint lateStart = start + Seconds(5);
    BOOST_CHECK(shutdown.acceptsConnections(lateStart, false));
    BOOST_CHECK(shutdown.mayAcceptRequest(lateStart, Milliseconds(1'300)));
    BOOST_CHECK(!shutdown.mayAcceptRequest(lateStart, Milliseconds(1'301)));
    BOOST_CHECK(!shutdown.acceptsConnections(start + gracePeriod, false));
}

// Calls that take far longer than their objective were accepted late and cut at the exit.
BOOST_AUTO_TEST_CASE(requestsThatWereSlowLatelyAreAcceptedOnlyIfTheyFit)
{
    GracefulShutdown shutdown(gracePeriod);
    shutdown.begin(start);
    const TimePoint lateStart = start + Seconds(5);
    BOOST_CHECK(shutdown.mayAcceptRequest(lateStart, Milliseconds(900), Milliseconds(2'600)));
    BOOST_CHECK(!shutdown.mayAcceptRequest(lateStart, Milliseconds(900), Milliseconds(2'601)));
}

// Guards against rejected requests when shutdowns overlap: three gateways stop two seconds apart,
// and their streams take over seven seconds to end. Requests of 200 ms arrive every 20 ms.
BOOST_AUTO_TEST_CASE(overlappingRestartsRejectNoRequests)
{
    constexpr Duration restart { Milliseconds(700) };
    constexpr Duration requestDuration { Milliseconds(200) };
    std::vector<RestartingGateway> gateways;
    for (int index = 0; index < 3; ++index)
        gateways.push_back({ .stopAt = start + index * Seconds(2), .drain = Milliseconds(7'300) });
    int rejectedRequests = 0;
    int truncatedRequests = 0;
    for (TimePoint now = start; now < start + Seconds(15); now += Milliseconds(20)) {
        for (RestartingGateway &gateway : gateways) {
            if (now >= gateway.stopAt && !gateway.shutdown.isStopping())
                gateway.shutdown.begin(now);
            std::erase_if(gateway.open, [now](TimePoint end) { return end <= now; });
            const bool hasOpenRequests =
                    now < gateway.stopAt + gateway.drain || !gateway.open.empty();
            if (!gateway.readyAgain && gateway.shutdown.shouldExit(now, hasOpenRequests)) {
                truncatedRequests += static_cast<int>(gateway.open.size());
                gateway.readyAgain = now + restart;
            }
        }
        const bool anyReady = std::any_of(gateways.begin(), gateways.end(),
                                          [now](const auto &entry) { return entry.isReady(now); });
        const auto accepting =
                std::find_if(gateways.begin(), gateways.end(), [&](const auto &entry) {
                    return entry.isReady(now)
                            || (entry.isRunning(now)
                                && entry.shutdown.acceptsConnections(now, anyReady)
                                && entry.shutdown.mayAcceptRequest(now, requestDuration));
                });
        if (accepting == gateways.end())
            ++rejectedRequests;
        else if (!accepting->isReady(now))
            accepting->open.push_back(now + requestDuration);
    }
    BOOST_CHECK_EQUAL(rejectedRequests, 0);
    BOOST_CHECK_EQUAL(truncatedRequests, 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Lavenderpick
