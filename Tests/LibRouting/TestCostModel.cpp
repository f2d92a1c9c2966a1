#include "lavenderpick/Routing/CostModel.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace Lavenderpick;

namespace {

double actualPrefillSeconds(double tokens)
{
    return 60e-6 * tokens + 30e-12 * tokens * tokens;
}

} // namespace

// Guards against predictions that keep the initial rates on other hardware.
BOOST_AUTO_TEST_CASE(rates_are_learned_from_observations)
{
    CostModel model;
    for (int round = 0; round < 400; ++round) {
        const std::int64_t tokens = 1'000 << (round % 9);
        const double seconds = actualPrefillSeconds(static_cast<double>(tokens));
        model.observePrefill("u1", "m", tokens, 0, seconds, 0);
        model.observePrefill("u2", "m", tokens, 0, 2 * seconds, 0);
        model.observeDecode("u1", "m", 10, 0.5);
    }
    for (const std::int64_t tokens : { 2'000, 50'000, 250'000 }) {
        const double seconds = actualPrefillSeconds(static_cast<double>(tokens));
        BOOST_TEST(model.predict("u1", "m", tokens, 0, 0).prefillSeconds == seconds,
                   boost::test_tools::tolerance(0.25));
        BOOST_TEST(model.predict("u2", "m", tokens, 0, 0).prefillSeconds == 2 * seconds,
                   boost::test_tools::tolerance(0.25));
    }
    BOOST_TEST(model.rates("u1", "m").decodeSecondsPerToken == 0.05,
               boost::test_tools::tolerance(0.05));
}

// Guards against one stalled stream that makes an engine look too slow to use.
BOOST_AUTO_TEST_CASE(single_outlier_has_limited_effect)
{
    CostModel model;
    const double before = model.predict("u1", "m", 1'000, 0, 0).prefillSeconds;
    model.observePrefill("u1", "m", 1'000, 0, 1'000.0, 0);
    BOOST_TEST(model.predict("u1", "m", 1'000, 0, 0).prefillSeconds < 1.2 * before);
    model.observePrefill("u1", "m", 1'000, 0, 1'000.0, 900.0);
    BOOST_TEST(model.predict("u1", "m", 1'000, 0, 0).prefillSeconds < 1.2 * before);
}

// Guards against charging a cached prefix like tokens that need prefill.
BOOST_AUTO_TEST_CASE(cached_tokens_add_only_attention_cost)
{
    const CostModel model(
            { .prefillSecondsPerToken = 1e-5, .prefillSecondsPerTokenSquared = 1e-10 });
    const double seconds = model.predict("u", "m", 10'000, 8'000, 0).prefillSeconds;
    BOOST_TEST(seconds == 1e-5 * 2'000 + 1e-10 * 2'000 * 18'000,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(model.predict("u", "m", 10, 20, 0).prefillSeconds == 0);
}
