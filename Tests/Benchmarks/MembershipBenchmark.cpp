#include "lavenderpick/Membership/AgentSubset.h"

#include <benchmark/benchmark.h>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };
const std::vector<std::string> models { "m0", "m1", "m2", "m3" };

/// 14 availability zones in 5 regions; one member in 15 is an entry.
VmChanges fleet(std::int64_t members)
{
    VmChanges changes { 1, {} };
    for (std::int64_t number = 0; number < members; ++number) {
        const std::string name = "vm-" + std::to_string(number);
        const bool entry = number % 15 == 0;
        changes.vms.push_back({ .name = name,
                                .role = entry ? "entry" : "agent",
                                .address = name + ":1",
                                .datagramAddress = name + ":2",
                                .upstream = entry ? "" : "upstream-" + std::to_string(number),
                                .region = "r" + std::to_string(number % 14 % 5),
                                .availabilityZone = "z" + std::to_string(number % 14) });
    }
    return changes;
}

LoadReport report(const std::string &upstream, std::int64_t sequence)
{
    LoadReport result;
    result.upstream = upstream;
    result.incarnation = 1;
    result.sequence = sequence;
    result.models = { models[upstream.size() % models.size()] };
    return result;
}

// One pass: expiry, then the subsets of four models.
void membershipPass(benchmark::State &state)
{
    MemberTable table;
    table.apply(fleet(state.range(0)), start);
    AgentSubset subset("vm-0", "r0", "z0");
    for (auto _ : state) {
        table.expire(start);
        subset.update(table, models, start);
        benchmark::DoNotOptimize(subset.watched());
    }
    state.SetComplexityN(state.range(0));
}

void membershipReport(benchmark::State &state)
{
    MemberTable table;
    table.apply(fleet(state.range(0)), start);
    std::int64_t sequence = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(table.observeReport(report("upstream-7", ++sequence), start));
    state.SetComplexityN(state.range(0));
}

BENCHMARK(membershipPass)->Arg(320)->Arg(1'280)->Arg(5'130)->Complexity();
BENCHMARK(membershipReport)->Arg(320)->Arg(1'280)->Arg(5'130)->Complexity();

} // namespace

BENCHMARK_MAIN();
