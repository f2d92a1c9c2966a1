#include "FaultMatrix/Matrix.h"

namespace Lavenderpick::FaultMatrix {

namespace {

constexpr std::size_t listedFailures = 5;

CellResult runCell(const Scenario &scenario, const Guards &guards, const Plan &plan,
                   MatrixCounts &counts)
{
    CellResult result;
    try {
        result = scenario.run(plan, guards);
    } catch (const std::exception &error) {
        result.violations.push_back(std::string("unexpected exception: ") + error.what());
    }
    ++counts.cells;
    if (!result.violations.empty()) {
        ++counts.failed;
        if (counts.first.size() < listedFailures)
            counts.first.push_back({ plan, result.violations.front() });
    }
    return result;
}

template <typename Visit>
void forEachFault(const std::vector<StepKind> &kinds, int firstStep, Visit visit)
{
    for (int step = firstStep; step < static_cast<int>(kinds.size()); ++step) {
        for (int index = 0; index < faultCount; ++index) {
            const auto fault = static_cast<Fault>(index);
            if (isApplicable(fault, kinds[static_cast<std::size_t>(step)]))
                visit(PlannedFault { step, fault });
        }
    }
}

} // namespace

MatrixCounts runMatrix(const Scenario &scenario, const Guards &guards, Depth depth)
{
    MatrixCounts counts;
    const CellResult plain = runCell(scenario, guards, {}, counts);
    forEachFault(plain.kinds, 0, [&](const PlannedFault &first) {
        const CellResult single = runCell(scenario, guards, { first }, counts);
        if (depth == Depth::Singles)
            return;
        forEachFault(single.kinds, first.step + 1, [&](const PlannedFault &second) {
            runCell(scenario, guards, { first, second }, counts);
        });
    });
    return counts;
}

std::vector<Scenario> allScenarios()
{
    return { callScenario(),     largeCallScenario(), repeatedCallScenario(), jobScenario(),
             documentScenario(), streamScenario(),    reservationScenario(),  orderScenario() };
}

} // namespace Lavenderpick::FaultMatrix
