#include "lavenderpick/Forward/SlowestRequests.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

BOOST_AUTO_TEST_SUITE(SlowestRequestsTests)

BOOST_AUTO_TEST_CASE(remembersTheLongestOfEachRouteForAWhile)
{
    const TimePoint start { Seconds(1'000) };
    SlowestRequests requests;
    BOOST_CHECK(requests.longest("a", start) == Duration {});
    requests.record("a", Seconds(4), start);
    requests.record("a", Seconds(1), start + Seconds(1));
    requests.record("b", Seconds(2), start);
    BOOST_CHECK(requests.longest("a", start + Seconds(1)) == Seconds(4));
    BOOST_CHECK(requests.longest("b", start + Seconds(1)) == Seconds(2));
    requests.record("a", Seconds(3), start + Seconds(40));
    BOOST_CHECK(requests.longest("a", start + Seconds(59)) == Seconds(4));
    BOOST_CHECK(requests.longest("a", start + Seconds(61)) == Seconds(3));
    BOOST_CHECK(requests.longest("a", start + Seconds(200)) == Duration {});
}

BOOST_AUTO_TEST_SUITE_END()
