#include "lavenderpick/Retry/Backoff.h"
#include "lavenderpick/Retry/OutlierDetector.h"
#include "lavenderpick/Retry/RetryBudget.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

void recordThreeFailures(OutlierDetector &detector, const std::string &upstream, TimePoint now)
{
    for (int count = 0; count < 3; ++count)
        detector.recordFailure(upstream, now);
}

} // namespace

// Guards against a retry storm: retries that multiply the load when all requests fail.
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

// Guards against a planned drain that uses up the retry budget needed for real failures.
BOOST_AUTO_TEST_CASE(draining_consumes_no_retry_budget)
{
    RetryBudget budget({ .initialRetries = 0 });
    BOOST_TEST(budget.tryRetry(RetryReason::UpstreamDraining));
    BOOST_TEST(!budget.tryRetry(RetryReason::ConnectionFailed));
}

// Guards against callers that fail at the same time and retry at the same time, and against a retry
// that can't finish before the deadline.
BOOST_AUTO_TEST_CASE(backoff_has_jitter_and_respects_the_deadline)
{
    const Backoff backoff(Milliseconds(25), Seconds(2));
    SeededRandom random(7);
    Duration shortestDelay = Seconds(10);
    Duration longestDelay = Seconds(0);
    for (int count = 0; count < 1'000; ++count) {
        const auto delay = backoff.delay(2, Seconds(10), Seconds(1), random);
        BOOST_REQUIRE(delay.has_value());
        shortestDelay = std::min(shortestDelay, *delay);
        longestDelay = std::max(longestDelay, *delay);
    }
    BOOST_TEST((shortestDelay < Milliseconds(5)));
    BOOST_TEST((longestDelay > Milliseconds(95)));
    BOOST_TEST((longestDelay <= Milliseconds(100)));
    BOOST_TEST((*backoff.delay(1'000, Seconds(10), Seconds(1), random) <= Seconds(2)));
    BOOST_TEST(!backoff.delay(0, Seconds(1), Seconds(1) + Milliseconds(1), random).has_value());
}

// Guards against ejecting the whole fleet when the cause of the failures is elsewhere.
BOOST_AUTO_TEST_CASE(ejected_share_is_limited)
{
    OutlierDetector detector;
    detector.setKnownUpstreams(10);
    for (int number = 0; number < 10; ++number)
        recordThreeFailures(detector, "u" + std::to_string(number), start);
    BOOST_TEST(detector.ejectedCount(start) == 5u);
    OutlierDetector single;
    single.setKnownUpstreams(1);
    recordThreeFailures(single, "u0", start);
    BOOST_TEST(!single.isEjected("u0", start));
}

// Guards against full load on an upstream right after its ejection, and against short ejections of
// one that keeps failing.
BOOST_AUTO_TEST_CASE(traffic_share_rises_after_ejection)
{
    OutlierDetector detector;
    detector.setKnownUpstreams(10);
    recordThreeFailures(detector, "u0", start);
    BOOST_TEST(detector.trafficShare("u0", start + Seconds(4)) == 0);
    BOOST_TEST(!detector.isEjected("u0", start + Seconds(5)));
    BOOST_TEST(detector.trafficShare("u0", start + Seconds(5)) < 0.11);
    BOOST_TEST(detector.trafficShare("u0", start + Seconds(15)) > 0.5);
    BOOST_TEST(detector.trafficShare("u0", start + Seconds(15)) < 0.6);
    BOOST_TEST(detector.trafficShare("u0", start + Seconds(25)) == 1);

    detector.recordFailure("u0", start + Seconds(6));
    BOOST_TEST(detector.isEjected("u0", start + Seconds(15)));
    BOOST_TEST(!detector.isEjected("u0", start + Seconds(16)));
    detector.recordSuccess("u0", start + Seconds(200));
    recordThreeFailures(detector, "u0", start + Seconds(200));
    BOOST_TEST(!detector.isEjected("u0", start + Seconds(206)));
}
