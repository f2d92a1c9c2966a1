#include "lavenderpick/Base/Problem.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>

using namespace Lavenderpick;

// Guards against a reason that callers can get but whose row is missing from docs/callers.md, or
// has another status there.
BOOST_AUTO_TEST_CASE(callers_page_lists_every_reason_with_its_status)
{
    const char *source = std::getenv("LAVENDERPICK_SOURCE_DIR");
    BOOST_REQUIRE_MESSAGE(source != nullptr, "Run this test with ctest.");
    std::ifstream file(std::string(source) + "/docs/callers.md");
    const std::string page { std::istreambuf_iterator<char>(file), {} };
    for (int index = 0; index < refusalReasonCount; ++index) {
        const Problem problem { .reason = static_cast<RefusalReason>(index), .detail = "" };
        const std::string row = "| `" + std::string(toString(problem.reason)) + "` | "
                + std::to_string(problem.status()) + " |";
        BOOST_TEST(page.find(row) != std::string::npos, row);
    }
}
