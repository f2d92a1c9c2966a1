#pragma once

#include "FaultMatrix/FaultyStore.h"

#include <functional>
#include <string>
#include <vector>

namespace Lavenderpick::FaultMatrix {

/// What one run of a scenario showed.
struct CellResult
{
    std::vector<StepKind> kinds {};         ///< Of the steps that the run took.
    std::vector<std::string> violations {}; ///< Invariants that did not hold.
};

/// A protocol run with invariants; the function must be deterministic.
struct Scenario
{
    std::string name;
    std::function<CellResult(const Plan &, const Guards &)> run;
};

struct FailedCell
{
    Plan plan;
    std::string violation;
};

struct MatrixCounts
{
    int cells { 0 };
    int failed { 0 };
    std::vector<FailedCell> first {}; ///< The first failed cells.
};

enum class Depth {
    Singles,
    Pairs, ///< Singles, and every second fault at every later step of each.
};

/// Runs the scenario without faults, with every fault at every step and, for pairs, with every
/// second fault at every step after the first, which includes the steps that the first one caused.
MatrixCounts runMatrix(const Scenario &scenario, const Guards &guards, Depth depth);

/// All scenarios, in the order in which they are reported.
std::vector<Scenario> allScenarios();

Scenario callScenario();
Scenario largeCallScenario();
Scenario repeatedCallScenario();
Scenario jobScenario();
Scenario documentScenario();
Scenario streamScenario();
Scenario reservationScenario();
Scenario orderScenario();

} // namespace Lavenderpick::FaultMatrix
