#include "FaultMatrix/Matrix.h"
#include "lavenderpick/Base/Log.h"

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
    std::string scenarios; ///< Those that rest on it; `call` stands for all scenarios of calls.
};

// Either of writer tokens and gate suffices against a message that arrives twice at one time; only
// the gate protects a refusal. So the tokens are tried without the gate.
const Mechanism mechanisms[] {
    { "conditional writes", { &Guards::conditions }, "call job document order" },
    { "read-back of lost answers", { &Guards::readBack }, "call job document order" },
    { "gate against repeated attempts", { &Guards::attemptGate }, "call" },
    { "gate and writer tokens", { &Guards::attemptGate, &Guards::writerTokens }, "call" },
    { "calls sent once", { &Guards::sendOnce }, "call" },
    { "cancel before \"not run\"", { &Guards::cancelFirst }, "call" },
    { "jobs joining under the lease", { &Guards::leaseCommit }, "job" },
    { "fences in object names", { &Guards::fencedNames }, "job" },
    { "ordered replicas", { &Guards::ordered }, "document" },
    { "offsets of token events", { &Guards::offsets }, "stream" },
    { "expiry of reservations", { &Guards::expiry }, "reservation" },
    { "fence check after a pause", { &Guards::fenceCheck }, "order" },
};

PlannedFault parsePlanned(const std::string &text)
{
    const std::size_t colon = text.find(':');
    return { std::stoi(text.substr(0, colon)), parseFault(text.substr(colon + 1)) };
}

} // namespace

// The product's warnings about each fault would hide the counts.
struct QuietLog
{
    QuietLog() { initializeLog(LogLevel::Error, "fault-matrix"); }
};

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

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
            const std::string kind = scenario.name.substr(scenario.name.rfind('-') + 1);
            if (mechanism.scenarios.find(kind) == std::string::npos)
                continue;
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
