#include "lavenderpick/Base/LatencyHistogram.h"
#include "lavenderpick/Base/Metrics.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

BOOST_AUTO_TEST_SUITE(LatencyHistogramTests)

BOOST_AUTO_TEST_CASE(rangesIncludeTheirUpperBound)
{
    LatencyHistogram histogram;
    histogram.add(Milliseconds(5));
    histogram.add(Milliseconds(6));
    histogram.add(Milliseconds(300));
    histogram.add(Seconds(60));
    BOOST_CHECK_EQUAL(histogram.atMost(0), 1);
    BOOST_CHECK_EQUAL(histogram.atMost(1), 2);
    BOOST_CHECK_EQUAL(histogram.atMost(LatencyHistogram::bounds.size() - 1), 3);
    BOOST_CHECK_EQUAL(histogram.count(), 4);
}

BOOST_AUTO_TEST_CASE(seriesAreCumulative)
{
    Metrics metrics;
    metrics.observeLatency("wait_seconds", "kind=\"safe\"", Milliseconds(20));
    metrics.observeLatency("wait_seconds", "kind=\"safe\"", Milliseconds(500));
    const std::string text = metrics.toPrometheusText();
    for (const char *line :
         { "wait_seconds_bucket{kind=\"safe\",le=\"0.01\"} 0\n",
           "wait_seconds_bucket{kind=\"safe\",le=\"0.025\"} 1\n",
           "wait_seconds_bucket{kind=\"safe\",le=\"0.6\"} 2\n",
           "wait_seconds_bucket{kind=\"safe\",le=\"+Inf\"} 2\n",
           "wait_seconds_sum{kind=\"safe\"} 0.52\n", "wait_seconds_count{kind=\"safe\"} 2\n" })
        BOOST_CHECK_MESSAGE(text.find(line) != std::string::npos, line);
}

BOOST_AUTO_TEST_SUITE_END()
