#include "GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

BOOST_AUTO_TEST_SUITE(UpstreamConnectionPoolTests)

BOOST_AUTO_TEST_CASE(freeConnectionsAreDividedAmongGateways)
{
    BOOST_CHECK_EQUAL(idleConnectionShare(24, 0, 4), 6);
    BOOST_CHECK_EQUAL(idleConnectionShare(24, 16, 4), 2);
    BOOST_CHECK_EQUAL(idleConnectionShare(24, 22, 4), 0);
    BOOST_CHECK_EQUAL(idleConnectionShare(24, 30, 4), 0);
    BOOST_CHECK_EQUAL(idleConnectionShare(24, 0, 330), 0);
}

// An upstream resets connections above its limit. This happens if the open requests and the idle
// connections of all gateways add up to more than the limit.
BOOST_AUTO_TEST_CASE(totalConnectionsStayWithinUpstreamLimit)
{
    for (std::size_t gatewayCount = 1; gatewayCount <= 330; ++gatewayCount) {
        for (std::size_t openRequests = 0; openRequests <= 100; ++openRequests)
            BOOST_REQUIRE_LE(openRequests
                                     + gatewayCount
                                             * idleConnectionShare(100, openRequests, gatewayCount),
                             100);
    }
}

BOOST_FIXTURE_TEST_CASE(idleConnectionsOverTheShareAreClosed, GatewayFixture)
{
    ServingConfigurationParts parts = makeConfiguration();
    parts.services.front().maximumConnections = 4;
    state.configuration = std::make_shared<ServingConfiguration>(parts);
    state.pool.setGatewayCount(2);
    const auto &upstream = addUpstream("u1", [](const ReceivedRequest &request, const auto &peer) {
        if (request.head.target != "/safe/wait")
            peer->write(makeResponse(request.header("Request-Id"), "x"));
    });
    const auto first = send("/safe/1", "r1");
    const auto second = send("/safe/2", "r2");
    const auto third = send("/safe/3", "r3");
    runUntil([&] { return first->complete && second->complete && third->complete; });
    BOOST_CHECK_EQUAL(upstream.connectionCount(), 3U);
    BOOST_CHECK_EQUAL(state.pool.idleCount("u1"), 2U);
    const auto waiting = send("/safe/wait", "r4");
    runUntil([&] { return upstream.received().size() == 4; });
    state.pool.trimIdleConnections(clock.now());
    BOOST_CHECK_EQUAL(state.pool.idleCount("u1"), 1U);
}

BOOST_AUTO_TEST_SUITE_END()
