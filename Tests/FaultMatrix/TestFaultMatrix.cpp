#include "FaultMatrix/Matrix.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <sstream>

using namespace Lavenderpick;
using namespace Lavenderpick::FaultMatrix;

namespace {

std::string replayCommand(const Scenario &scenario, const Plan &plan)
{
    return "build/Tests/TestFaultMatrix --run_test=replay -- " + scenario.name + " "
            + toString(plan);
}

std::string describe(const Scenario &scenario, const MatrixCounts &counts)
{
    std::ostringstream text;
    text << scenario.name << ": " << counts.cells << " cells run, " << counts.failed << " failed";
    for (const FailedCell &cell : counts.first)
        text << "\n  " << cell.violation << "\n  " << replayCommand(scenario, cell.plan);
    return text.str();
}

struct Mechanism
{
    const char *name;
    std::vector<bool Guards::*> guards;
};

// Either of writer tokens and gate suffices against a message that arrives twice at one time; only
// the gate protects a refusal. So the tokens are tried without the gate.
const Mechanism mechanisms[] {
    { "conditional writes", { &Guards::conditions } },
    { "read-back of lost answers", { &Guards::readBack } },
    { "gate against repeated attempts", { &Guards::attemptGate } },
    { "gate and writer tokens", { &Guards::attemptGate, &Guards::writerTokens } },
    { "calls sent once", { &Guards::sendOnce } },
    { "cancel before \"not run\"", { &Guards::cancelFirst } },
    { "jobs joining under the lease", { &Guards::leaseCommit } },
    { "fences in object names", { &Guards::fencedNames } },
};

PlannedFault parsePlanned(const std::string &text)
{
    const std::size_t colon = text.find(':');
    return { std::stoi(text.substr(0, colon)), parseFault(text.substr(colon + 1)) };
}

} // namespace

// Guards against a fault, or a pair of them, that breaks an invariant of design.md 1.2 at any step.
BOOST_AUTO_TEST_CASE(matrix)
{
    for (const Scenario &scenario : allScenarios()) {
        const MatrixCounts counts = runMatrix(scenario, {}, Depth::Pairs);
        const std::string text = describe(scenario, counts);
        std::printf("%s\n", text.c_str());
        BOOST_TEST(counts.failed == 0, text);
    }
}

// Guards against a matrix that would not notice that a mechanism is missing.
BOOST_AUTO_TEST_CASE(mechanisms_are_needed)
{
    for (const Mechanism &mechanism : mechanisms) {
        Guards guards;
        for (bool Guards::*guard : mechanism.guards)
            guards.*guard = false;
        int failed = 0;
        std::string text = std::string("without ") + mechanism.name + ":";
        for (const Scenario &scenario : allScenarios()) {
            const MatrixCounts counts = runMatrix(scenario, guards, Depth::Pairs);
            failed += counts.failed;
            if (counts.failed > 0)
                text += " " + scenario.name + " " + std::to_string(counts.failed) + "/"
                        + std::to_string(counts.cells);
        }
        std::printf("%s\n", text.c_str());
        BOOST_TEST(failed > 0, text << " no cell fails");
    }
}

// Runs one cell: `--run_test=replay -- SCENARIO [STEP:FAULT]...`. Without arguments it does
// nothing.
BOOST_AUTO_TEST_CASE(replay)
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    if (suite.argc < 2)
        return;
    Plan plan;
    for (int index = 2; index < suite.argc; ++index)
        plan.push_back(parsePlanned(suite.argv[index]));
    for (const Scenario &scenario : allScenarios()) {
        if (scenario.name != suite.argv[1])
            continue;
        for (const std::string &violation : scenario.run(plan, {}).violations)
            BOOST_ERROR(violation);
    }
}
