#include "lavenderpick/Forward/WindowedRetryBudget.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

int takeAllRetries(WindowedRetryBudget &budget, TimePoint now)
{
    int granted = 0;
    while (budget.tryRetry("s", now))
        ++granted;
    return granted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WindowedRetryBudgetTests)

BOOST_AUTO_TEST_CASE(retriesOfAllGatewaysStayWithinTheLimit)
{
    constexpr int gateways = 5;
    constexpr int requests = 200;
    int granted = 0;
    for (int gateway = 0; gateway < gateways; ++gateway) {
        WindowedRetryBudget budget({ .ratio = 0.2, .slack = 100, .window = Seconds(10) });
        budget.setGatewayCount(gateways);
        for (int request = 0; request < requests; ++request)
            budget.recordRequest("s", start);
        granted += takeAllRetries(budget, start);
    }
    BOOST_CHECK_LE(granted, 0.2 * requests * gateways + 100);
    BOOST_CHECK_GE(granted, 0.2 * requests * gateways);
}

BOOST_AUTO_TEST_CASE(retriesStayWithinTheLimitInAnyWindow)
{
    WindowedRetryBudget budget({ .ratio = 0, .slack = 10, .window = Seconds(10) });
    const int first = takeAllRetries(budget, start);
    BOOST_CHECK_EQUAL(takeAllRetries(budget, start + Milliseconds(9'999)), 0);
    BOOST_CHECK_EQUAL(takeAllRetries(budget, start + Seconds(10)), first);
}

BOOST_AUTO_TEST_CASE(servicesHaveSeparateBudgets)
{
    WindowedRetryBudget budget({ .ratio = 0, .slack = 2, .window = Seconds(10) });
    BOOST_CHECK(budget.tryRetry("a", start));
    BOOST_CHECK(budget.tryRetry("b", start));
    BOOST_CHECK(!budget.tryRetry("a", start));
}

BOOST_AUTO_TEST_SUITE_END()
