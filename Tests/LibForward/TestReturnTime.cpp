#include "lavenderpick/Forward/ReturnTime.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

/// Callers that arrive during an outage, each of which returns once.
struct Outage
{
    Duration length { Milliseconds(2'100) };
    Duration callerPatience { Seconds(10) };
    SeededRandom random { 7 };

    /// Number of 100 callers, arriving evenly over the outage, that find it over when they return.
    int servedCallers(MissingConfiguration cause)
    {
        int served = 0;
        for (int caller = 0; caller < 100; ++caller) {
            const Duration arrival = length * caller / 100;
            const Duration wait = returnTime(cause, callerPatience, random);
            served += arrival + wait >= length ? 1 : 0;
        }
        return served;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReturnTimeTests)

BOOST_AUTO_TEST_CASE(callersReturnWhenAnOutageOfTheStoreIsOver)
{
    Outage outage;
    BOOST_CHECK_EQUAL(outage.servedCallers(MissingConfiguration::Unreachable), 100);
    // With the time that reading the configuration takes, most are refused again and lost.
    BOOST_CHECK_LE(outage.servedCallers(MissingConfiguration::Loading), 15);
}

BOOST_AUTO_TEST_CASE(callersAreToldNoMoreThanTheyAccept)
{
    SeededRandom random(1);
    for (int round = 0; round < 100; ++round) {
        const Duration wait =
                returnTime(MissingConfiguration::Unreachable, Milliseconds(2'400), random);
        BOOST_CHECK_LE(toMilliseconds(wait), 800);
        BOOST_CHECK_GE(toMilliseconds(wait), 680);
    }
    BOOST_CHECK(returnTime(MissingConfiguration::Unreachable, std::nullopt, random)
                > Milliseconds(1'500));
}

BOOST_AUTO_TEST_SUITE_END()
