#include "lavenderpick/Retry/Backoff.h"
#include "lavenderpick/Retry/OutlierDetector.h"
#include "lavenderpick/Retry/RetryBudget.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

void fail(OutlierDetector &detector, const std::string &upstream, TimePoint now)
{
    for (int count = 0; count < 3; ++count)
        detector.recordFailure(upstream, now);
}

} // namespace

// Guards against a retry storm: when everything fails, the attempts must not multiply.
BOOST_AUTO_TEST_CASE(retries_are_a_share_of_successes)
{
    RetryBudget budget;
    int retries = 0;
    for (int request = 0; request < 10'000; ++request)
        retries += budget.tryRetry(RetryReason::UpstreamFailed) ? 1 : 0;
    BOOST_TEST(retries == 10);
    for (int request = 0; request < 200; ++request)
        budget.recordSuccess();
    retries = 0;
    for (int request = 0; request < 10'000; ++request)
        retries += budget.tryRetry(RetryReason::UpstreamFailed) ? 1 : 0;
    BOOST_TEST(retries >= 19);
    BOOST_TEST(retries <= 20);
}

// Guards against a planned stop that uses up the budget which real failures need.
BOOST_AUTO_TEST_CASE(draining_costs_no_retry_budget)
{
    RetryBudget budget({ .reserve = 0 });
    BOOST_TEST(budget.tryRetry(RetryReason::UpstreamDraining));
    BOOST_TEST(!budget.tryRetry(RetryReason::ConnectionFailed));
}

// Guards against callers that fail together and return together, and against a retry that can't
// finish before the deadline.
BOOST_AUTO_TEST_CASE(backoff_is_jittered_and_keeps_the_deadline)
{
    const Backoff backoff(Milliseconds(25), Seconds(2));
    SeededRandom random(7);
    Duration least = Seconds(10);
    Duration most = Seconds(0);
    for (int count = 0; count < 1'000; ++count) {
        const auto delay = backoff.delay(2, Seconds(10), Seconds(1), random);
        BOOST_REQUIRE(delay.has_value());
        least = std::min(least, *delay);
        most = std::max(most, *delay);
    }
    BOOST_TEST((least < Milliseconds(5)));
    BOOST_TEST((most > Milliseconds(95)));
    BOOST_TEST((most <= Milliseconds(100)));
    BOOST_TEST((*backoff.delay(1'000, Seconds(10), Seconds(1), random) <= Seconds(2)));
    BOOST_TEST(!backoff.delay(0, Seconds(1), Seconds(1) + Milliseconds(1), random).has_value());
}

// Guards against ejecting the whole fleet when the cause is elsewhere.
BOOST_AUTO_TEST_CASE(ejection_has_a_floor)
{
    OutlierDetector detector;
    detector.setKnownUpstreams(10);
    for (int number = 0; number < 10; ++number)
        fail(detector, "u" + std::to_string(number), start);
    BOOST_TEST(detector.ejectedCount(start) == 5u);
    OutlierDetector single;
    single.setKnownUpstreams(1);
    fail(single, "u0", start);
    BOOST_TEST(!single.isEjected("u0", start));
}

// Guards against full load on an upstream that has only just returned, and against quick returns of
// one that keeps failing.
BOOST_AUTO_TEST_CASE(returning_upstream_ramps_up)
{
    OutlierDetector detector;
    detector.setKnownUpstreams(10);
    fail(detector, "u0", start);
    BOOST_TEST(detector.share("u0", start + Seconds(4)) == 0);
    BOOST_TEST(!detector.isEjected("u0", start + Seconds(5)));
    BOOST_TEST(detector.share("u0", start + Seconds(5)) < 0.11);
    BOOST_TEST(detector.share("u0", start + Seconds(15)) > 0.5);
    BOOST_TEST(detector.share("u0", start + Seconds(15)) < 0.6);
    BOOST_TEST(detector.share("u0", start + Seconds(25)) == 1);

    detector.recordFailure("u0", start + Seconds(6));
    BOOST_TEST(detector.isEjected("u0", start + Seconds(15)));
    BOOST_TEST(!detector.isEjected("u0", start + Seconds(16)));
    detector.recordSuccess("u0", start + Seconds(200));
    fail(detector, "u0", start + Seconds(200));
    BOOST_TEST(!detector.isEjected("u0", start + Seconds(206)));
}
