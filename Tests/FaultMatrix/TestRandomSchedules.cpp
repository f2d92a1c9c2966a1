#include "FaultMatrix/Matrix.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace Lavenderpick;
using namespace Lavenderpick::FaultMatrix;

namespace {

constexpr int lastStep = 40; // The longest scenario takes about 30 steps without faults.
constexpr int minimumFaults = 3;
constexpr int maximumFaults = 7;

rc::Gen<Plan> anyPlan()
{
    const auto planned = rc::gen::map(
            rc::gen::pair(rc::gen::inRange(0, lastStep), rc::gen::inRange(0, faultCount)),
            [](const std::pair<int, int> &pair) {
                return PlannedFault { pair.first, static_cast<Fault>(pair.second) };
            });
    return rc::gen::mapcat(rc::gen::inRange(minimumFaults, maximumFaults + 1), [planned](int size) {
        return rc::gen::container<Plan>(static_cast<std::size_t>(size), planned);
    });
}

} // namespace

// Guards against three to seven faults that together break what pairs do not. RC_PARAMS overrides
// the seed and the number of schedules.
BOOST_AUTO_TEST_CASE(random_schedules)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=5000", 0);
    for (const Scenario &scenario : allScenarios()) {
        const bool holds = rc::check(scenario.name, [&scenario] {
            const Plan plan = *anyPlan();
            for (const std::string &violation : scenario.run(plan, {}).violations)
                RC_FAIL(violation + ": build/Tests/TestFaultMatrix --run_test=replay -- "
                        + scenario.name + " " + toString(plan));
        });
        BOOST_TEST(holds, scenario.name);
    }
}
