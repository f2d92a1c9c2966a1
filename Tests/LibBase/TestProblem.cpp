#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Problem.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

// Guards against a problem that loses whether the request ran on its way through an entry.
BOOST_AUTO_TEST_CASE(problem_survives_json)
{
    const Problem problem { .reason = RefusalReason::CustomerBudget,
                            .detail = "Wait.",
                            .ran = Ran::Unknown,
                            .retryAfterSeconds = 3,
                            .requestId = "r-1" };
    BOOST_TEST((Problem::parse(problem.toJson()) == problem));
    BOOST_TEST(problem.status() == 429);
}
