#include "lavenderpick/Forward/RetryWindow.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

int grantedRepeats(RetryWindow &window, TimePoint now)
{
    int granted = 0;
    while (window.tryRepeat("s", now))
        ++granted;
    return granted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryWindowTests)

BOOST_AUTO_TEST_CASE(allGatewaysTogetherStayWithinTheBound)
{
    constexpr int gateways = 5;
    constexpr int requests = 200;
    int granted = 0;
    for (int gateway = 0; gateway < gateways; ++gateway) {
        RetryWindow window({ .ratio = 0.2, .slack = 100, .window = Seconds(10) });
        window.setGateways(gateways);
        for (int request = 0; request < requests; ++request)
            window.recordRequest("s", start);
        granted += grantedRepeats(window, start);
    }
    BOOST_CHECK_LE(granted, 0.2 * requests * gateways + 100);
    BOOST_CHECK_GE(granted, 0.2 * requests * gateways);
}

BOOST_AUTO_TEST_CASE(anySpanOfTheWindowStaysWithinTheBound)
{
    RetryWindow window({ .ratio = 0, .slack = 10, .window = Seconds(10) });
    const int first = grantedRepeats(window, start);
    BOOST_CHECK_EQUAL(grantedRepeats(window, start + Milliseconds(9'999)), 0);
    BOOST_CHECK_EQUAL(grantedRepeats(window, start + Seconds(10)), first);
}

BOOST_AUTO_TEST_CASE(servicesAreCountedApart)
{
    RetryWindow window({ .ratio = 0, .slack = 2, .window = Seconds(10) });
    BOOST_CHECK(window.tryRepeat("a", start));
    BOOST_CHECK(window.tryRepeat("b", start));
    BOOST_CHECK(!window.tryRepeat("a", start));
}

BOOST_AUTO_TEST_SUITE_END()
