#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Limits/Admission.h"
#include "lavenderpick/Limits/FairQueue.h"

#include <benchmark/benchmark.h>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

void admissionDecision(benchmark::State &state)
{
    CustomerBudgets budgets;
    budgets.setEntryCount(330);
    std::vector<std::string> customers;
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        customers.push_back("customer-" + std::to_string(number));
        budgets.setLimit(customers.back(), { .costPerSecond = 1 });
        budgets.charge(customers.back(), 0.01, start);
    }
    Admission admission({}, budgets);
    SeededRandom random(1);
    TimePoint now = start;
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        const CallerAdmissionRequest request { .customer =
                                                       customers[random.below(customers.size())],
                                               .chargedSeconds = 0.1,
                                               .executionSeconds = 1,
                                               .remainingSeconds = 30 };
        benchmark::DoNotOptimize(admission.admit(request, now));
    }
    state.SetComplexityN(state.range(0));
}

void gossipQuestion(benchmark::State &state)
{
    CustomerBudgets budgets;
    budgets.setEntryCount(330);
    for (std::int64_t number = 0; number < state.range(0); ++number)
        budgets.charge("customer-" + std::to_string(number), 1, start);
    TimePoint now = start;
    for (auto _ : state) {
        now += Seconds(1);
        Gossip gossip;
        budgets.fillGossip(gossip, now);
        benchmark::DoNotOptimize(gossip);
    }
    state.SetComplexityN(state.range(0));
}

void queueTurn(benchmark::State &state)
{
    FairQueue queue({ .maximumRequests = 1'024 });
    std::uint64_t id = 0;
    const auto push = [&] {
        ++id;
        queue.push({ .id = id,
                     .customer = "customer-" + std::to_string(id % 100),
                     .cost = 1,
                     .deadline = start + Milliseconds(id),
                     .enqueuedAt = start });
    };
    while (queue.size() < static_cast<std::size_t>(state.range(0)))
        push();
    for (auto _ : state) {
        push();
        benchmark::DoNotOptimize(queue.pop(start));
    }
    state.SetComplexityN(state.range(0));
}

BENCHMARK(admissionDecision)->Arg(400)->Arg(1'600)->Arg(6'700)->Complexity();
BENCHMARK(gossipQuestion)->Arg(400)->Arg(1'600)->Arg(6'700)->Complexity();
BENCHMARK(queueTurn)->Arg(16)->Arg(64)->Arg(256)->Arg(1'000)->Complexity();

} // namespace
