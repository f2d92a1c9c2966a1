#include "lavenderpick/Base/Metrics.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Lavenderpick;

// Guards against estimates that miss the second mode of a bimodal quantity, such as latency by
// prompt length.
BOOST_AUTO_TEST_CASE(high_quantiles_are_exact_for_bimodal_samples)
{
    Distribution distribution;
    std::vector<double> samples;
    for (int number = 0; number < 4000; ++number)
        samples.push_back(number % 50 == 0 ? 1000.0 + number : 1.0 + number / 10'000.0);
    for (const double sample : samples)
        distribution.add(sample);
    std::sort(samples.begin(), samples.end());
    for (const double probability : { 0.9, 0.95, 0.99 }) {
        // Definitions of a quantile differ by one rank.
        const auto rank =
                static_cast<std::size_t>(probability * static_cast<double>(samples.size()));
        BOOST_TEST(distribution.quantile(probability) >= samples[rank - 1]);
        BOOST_TEST(distribution.quantile(probability) <= samples[rank]);
    }
    BOOST_TEST(distribution.count() == samples.size());
    BOOST_TEST(distribution.maximum() == samples.back());
}

// Guards against "nan" in the metrics of a process that has seen few samples.
BOOST_AUTO_TEST_CASE(quantiles_exist_from_the_first_sample)
{
    Distribution distribution;
    BOOST_TEST(distribution.quantile(0.95) == 0);
    distribution.add(7);
    BOOST_TEST(distribution.quantile(0.95) == 7);
    BOOST_TEST(distribution.quantile(0.99) == 7);
}

// Guards against a reason without a counter, which would hide it until it first occurs.
BOOST_AUTO_TEST_CASE(every_reason_is_listed)
{
    Metrics metrics;
    metrics.countRefusal(RefusalReason::QueueFull);
    const std::string text = metrics.toPrometheusText();
    BOOST_TEST(text.find("lavenderpick_refusals_total{reason=\"queue_full\"} 1\n")
               != std::string::npos);
    for (int reason = 0; reason < refusalReasonCount; ++reason)
        BOOST_TEST(text.find("refusals_total{reason=\""
                             + std::string(toString(static_cast<RefusalReason>(reason))) + "\"")
                   != std::string::npos);
    for (int reason = 0; reason < retryReasonCount; ++reason)
        BOOST_TEST(text.find("retries_total{reason=\""
                             + std::string(toString(static_cast<RetryReason>(reason))) + "\"")
                   != std::string::npos);
}
