#include "lavenderpick/Routing/Router.h"

#include <benchmark/benchmark.h>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

/// An entry that knows `runners` upstreams and watches 48 of them, with 6 own attempts on each.
class RoutingState
{
public:
    explicit RoutingState(std::int64_t runners)
    {
        for (std::int64_t number = 0; number < runners; ++number)
            add("upstream-" + std::to_string(number), number);
    }

    Router &router() { return m_router; }
    std::span<const Candidate> candidates() const { return m_candidates; }
    PrefixIndex &prefixes() { return m_prefixes; }

private:
    void add(const std::string &upstream, std::int64_t number)
    {
        constexpr std::size_t subset = 48;
        LoadReport report;
        report.upstream = upstream;
        report.incarnation = 1;
        report.sequence = 1;
        report.models = { "m" };
        report.kvCapacity = 450'000;
        report.prefillBacklog = number % 40'000;
        m_view.observeReport(report, start);
        const PredictedCost cost = m_costs.predict(upstream, "m", 4'000, 0, 200);
        for (int attempt = 0; attempt < 6; ++attempt)
            m_view.recordSent(upstream, std::to_string(attempt), cost, true, start + Seconds(1));
        if (m_candidates.size() < subset)
            m_candidates.push_back({ .upstream = upstream,
                                     .distance = number < 32 ? 0
                                             : number < 44   ? 1
                                                             : 2 });
    }

    CostModel m_costs;
    LoadView m_view { m_costs };
    PrefixIndex m_prefixes;
    Router m_router { {}, m_costs, m_view, m_prefixes };
    std::vector<Candidate> m_candidates;
};

void routingDecision(benchmark::State &state)
{
    RoutingState routing(state.range(0));
    SeededRandom random(1);
    const RouteRequest request { .model = "m", .promptTokens = 4'000, .outputTokens = 200 };
    for (auto _ : state)
        benchmark::DoNotOptimize(
                routing.router().choose(request, routing.candidates(), start + Seconds(2), random));
    state.SetComplexityN(state.range(0));
}

void routingDecisionWithPrefix(benchmark::State &state)
{
    RoutingState routing(state.range(0));
    SeededRandom random(1);
    const std::vector<PrefixHash> points = prefixHashes("m", std::string(16'000, 'x'));
    routing.prefixes().recordPrompt(points, "upstream-7", start);
    const RouteRequest request {
        .model = "m", .promptTokens = 4'000, .outputTokens = 200, .prefix = points
    };
    for (auto _ : state)
        benchmark::DoNotOptimize(
                routing.router().choose(request, routing.candidates(), start + Seconds(2), random));
    state.SetComplexityN(state.range(0));
}

void prefixHashing(benchmark::State &state)
{
    const std::string prompt(static_cast<std::size_t>(4 * state.range(0)), 'x');
    for (auto _ : state)
        benchmark::DoNotOptimize(prefixHashes("m", prompt));
    state.SetComplexityN(state.range(0));
}

BENCHMARK(routingDecision)->Arg(300)->Arg(1'200)->Arg(4'800)->Complexity();
BENCHMARK(routingDecisionWithPrefix)->Arg(300)->Arg(1'200)->Arg(4'800)->Complexity();
BENCHMARK(prefixHashing)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Arg(1'000'000)->Complexity();

} // namespace
