#include "GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

BOOST_AUTO_TEST_SUITE(UpstreamPoolTests)

BOOST_AUTO_TEST_CASE(gatewaysShareTheConnectionsThatRequestsLeaveFree)
{
    BOOST_CHECK_EQUAL(idleConnectionShare(24, 0, 4), 6);
    BOOST_CHECK_EQUAL(idleConnectionShare(24, 16, 4), 2);
    BOOST_CHECK_EQUAL(idleConnectionShare(24, 22, 4), 0);
    BOOST_CHECK_EQUAL(idleConnectionShare(24, 30, 4), 0);
    BOOST_CHECK_EQUAL(idleConnectionShare(24, 0, 330), 0);
}

// Any number of gateways, all of which keep what they may: an upstream never has more connections
// than it takes.
BOOST_AUTO_TEST_CASE(noUpstreamHasMoreConnectionsThanItTakes)
{
    for (std::size_t gateways = 1; gateways <= 330; ++gateways) {
        for (std::size_t open = 0; open <= 100; ++open)
            BOOST_REQUIRE_LE(open + gateways * idleConnectionShare(100, open, gateways), 100);
    }
}

BOOST_FIXTURE_TEST_CASE(connectionsOverTheShareAreClosed, GatewayFixture)
{
    ServingConfigurationParts parts = makeConfiguration();
    parts.services.front().maximumConnections = 4;
    state.configuration = std::make_shared<ServingConfiguration>(parts);
    state.pool.setGateways(2);
    const auto &upstream = addUpstream("u1", [](const ReceivedRequest &request, const auto &peer) {
        if (request.head.target != "/safe/wait")
            peer->write(makeResponse(request.header("Request-Id"), "x"));
    });
    const auto first = send("/safe/1", "r1");
    const auto second = send("/safe/2", "r2");
    const auto third = send("/safe/3", "r3");
    runUntil([&] { return first->complete && second->complete && third->complete; });
    BOOST_CHECK_EQUAL(upstream.connections(), 3U);
    BOOST_CHECK_EQUAL(state.pool.idleCount("u1"), 2U);
    const auto waiting = send("/safe/wait", "r4");
    runUntil([&] { return upstream.received().size() == 4; });
    state.pool.closeIdle(clock.now());
    BOOST_CHECK_EQUAL(state.pool.idleCount("u1"), 1U);
}

BOOST_AUTO_TEST_SUITE_END()
