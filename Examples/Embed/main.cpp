#include <lavenderpick/Base/Clock.h>
#include <lavenderpick/Base/Random.h>
#include <lavenderpick/Retry/RetryBudget.h>
#include <lavenderpick/Routing/Router.h>

#include <iostream>
#include <vector>

using namespace Lavenderpick;

namespace {

LoadReport reportOf(const std::string &upstream, std::int64_t prefillBacklog)
{
    return { .upstream = upstream,
             .sequence = 1,
             .models = { "lavender-1" },
             .kvCapacity = 400'000,
             .prefillBacklog = prefillBacklog,
             .stepMicroseconds = 20'000 };
}

} // namespace

/// Routes two prompts with the coordination library inside another program: the program owns the
/// clock, the randomness and the transport.
int main()
{
    ManualClock clock;
    SeededRandom random(1);
    CostModel costModel;
    LoadView loadView(costModel);
    PrefixIndex prefixIndex;
    Router router({}, costModel, loadView, prefixIndex);

    loadView.observeReport(reportOf("engine-1", 300'000), clock.now());
    loadView.observeReport(reportOf("engine-2", 0), clock.now());
    const std::vector<Candidate> candidates { { .upstream = "engine-1" }, { .upstream = "engine-2" } };

    for (const std::int64_t tokens : { 1'000, 200'000 }) {
        const RouteRequest request { .model = "lavender-1", .promptTokens = tokens, .outputTokens = 100 };
        const RouteDecision decision = router.choose(request, candidates, clock.now(), random);
        if (!decision) {
            std::cout << tokens << " tokens: refused, " << toString(decision.refusal) << '\n';
            return 1;
        }
        std::cout << tokens << " tokens: " << decision.upstream << ", first token in "
                  << decision.firstTokenSeconds << " s\n";
    }
    return 0;
}
