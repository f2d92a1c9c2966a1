#include "Services/Entry/LongPromptPlan.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

using Step = LongPromptPlan::Step;

std::vector<GroupMember> group()
{
    return { { "c", "3", 1'000 }, { "a", "1", 2'000 }, { "b", "2", 1'000 } };
}

} // namespace

// Guards against two prompts that reserve in different orders and wait for each other forever.
BOOST_AUTO_TEST_CASE(reserves_in_ascending_name_and_then_prefills_in_order)
{
    const std::string prompt(4'000, 'x');
    LongPromptPlan plan(group(), prompt, 1'000, 500);
    std::string names;
    while (plan.step() == Step::Reserve) {
        names += plan.member().upstream;
        plan.onReserved();
    }
    BOOST_TEST(names == "abc");
    plan.onPrefilled("h1");
    BOOST_TEST((plan.step() == Step::Prefill));
    BOOST_TEST(plan.contextTokens() > 0);
    plan.onPrefilled("h2");
    BOOST_TEST((plan.step() == Step::Decode));
    BOOST_TEST(plan.member().upstream == "c");
    BOOST_TEST(plan.handles().size() == 2U);
    plan.onDecoded();
    BOOST_TEST((plan.step() == Step::Release));
    BOOST_TEST(!plan.wasRefused());
}

// Guards against memory that stays reserved at engines before and at the one that refused.
BOOST_AUTO_TEST_CASE(refusal_releases_all)
{
    const std::string prompt(400, 'x');
    LongPromptPlan plan(group(), prompt, 100, 10);
    plan.onReserved();
    plan.onRefused();
    BOOST_TEST((plan.step() == Step::Release));
    BOOST_TEST(plan.reservedCount() == 2U);
    BOOST_TEST(plan.wasRefused());
}

// Guards against prompts that lose bytes at a cut, cuts within a character, and reservations that
// do not follow the free memory.
BOOST_AUTO_TEST_CASE(segments_cover_the_prompt_in_proportion)
{
    std::string prompt;
    for (int i = 0; i < 500; ++i)
        prompt += "\u20ac\u00e9x";
    LongPromptPlan plan(group(), prompt, 800, 500);
    std::string joined;
    std::vector<std::int64_t> tokens;
    for (int member = 0; member < 3; ++member) {
        const PromptSegment segment = plan.segment();
        BOOST_TEST((static_cast<unsigned char>(segment.text.front()) & 0xc0U) != 0x80U);
        joined += segment.text;
        tokens.push_back(segment.tokens);
        plan.onReserved();
    }
    BOOST_TEST(joined == prompt);
    BOOST_TEST(tokens[0] > 2 * tokens[1] - 10);
    BOOST_TEST(tokens[2] > 500);
    BOOST_TEST(tokens[0] + tokens[1] + tokens[2] >= 800 + 500);
}
