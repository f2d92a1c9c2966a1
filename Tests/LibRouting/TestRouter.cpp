#include "lavenderpick/Routing/BaselinePolicies.h"
#include "lavenderpick/Routing/Router.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

LoadReport makeReport(const std::string &upstream, std::int64_t backlog, std::int64_t sequence = 1)
{
    LoadReport report;
    report.upstream = upstream;
    report.incarnation = 1;
    report.sequence = sequence;
    report.kvCapacity = 450'000;
    report.prefillBacklog = backlog;
    return report;
}

/// The router of one entry and what it depends on.
struct RouterFixture
{
    CostModel costModel;
    LoadView loadView { costModel };
    PrefixIndex prefixIndex;
    Router router { {}, costModel, loadView, prefixIndex };
    SeededRandom random { 1 };
    std::vector<Candidate> candidates;

    void addUpstream(const std::string &upstream, std::int64_t backlog, int distance = 0)
    {
        loadView.observeReport(makeReport(upstream, backlog), start);
        candidates.push_back({ .upstream = upstream, .distance = distance });
    }

    RouteDecision choose(std::int64_t tokens, TimePoint now = start,
                         std::span<const PrefixHash> prefix = {})
    {
        return router.choose({ .model = "m", .promptTokens = tokens, .prefix = prefix }, candidates,
                             now, random);
    }
};

} // namespace

// Guards against herding: entries with the same outdated reports must not all choose the one idle
// engine before the next report includes their work.
BOOST_AUTO_TEST_CASE(stale_reports_do_not_cause_herding)
{
    int choicesOfIdleEngine = 0;
    for (std::uint64_t entry = 0; entry < 100; ++entry) {
        RouterFixture fixture;
        fixture.random = SeededRandom(entry);
        for (int number = 0; number < 24; ++number)
            fixture.addUpstream("u" + std::to_string(number), number == 0 ? 0 : 20'000);
        for (int request = 0; request < 4; ++request) {
            const RouteDecision decision = fixture.choose(4'000);
            choicesOfIdleEngine += decision.upstream == "u0" ? 1 : 0;
            fixture.loadView.recordSent(decision.upstream, std::to_string(request), decision.cost,
                                        true, start);
        }
    }
    BOOST_TEST(choicesOfIdleEngine > 40);  // It is still preferred: an even spread gives 17.
    BOOST_TEST(choicesOfIdleEngine < 100); // Always choosing the best gives 400.
}

// Guards against an entry that ignores the attempts it sent until a report includes them.
BOOST_AUTO_TEST_CASE(sent_attempts_count_until_reported)
{
    RouterFixture fixture;
    fixture.addUpstream("u0", 0);
    const PredictedCost cost = fixture.costModel.predict("u0", "m", 10'000, 0, 100);
    fixture.loadView.recordSent("u0", "a1", cost, true, start + Seconds(1));
    const UpstreamLoad load = fixture.loadView.load("u0", start + Seconds(1));
    BOOST_TEST(load.shortPromptWaitSeconds == cost.prefillSeconds);
    BOOST_TEST(load.kvFree == 450'000 - 10'100);
    BOOST_TEST(fixture.loadView.load("u0", start + Seconds(60)).shortPromptWaitSeconds == 0);
    LoadReport staleReport = makeReport("u0", 500, 2);
    staleReport.ageMilliseconds = 2'000; // Measured before the attempt.
    fixture.loadView.observeReport(staleReport, start + Seconds(2));
    BOOST_TEST(fixture.loadView.load("u0", start + Seconds(2)).kvFree == 450'000 - 10'100);
    fixture.loadView.observeReport(makeReport("u0", 500, 3), start + Seconds(2));
    BOOST_TEST(fixture.loadView.load("u0", start + Seconds(2)).kvFree == 450'000);
    fixture.loadView.recordFinished("u0", "a1");
    BOOST_TEST(fixture.loadView.load("u0", start + Seconds(2)).ownRequests == 0);
}

// Guards against short prompts that avoid an engine because of a long prompt that they overtake.
BOOST_AUTO_TEST_CASE(short_prompt_waits_only_for_short_prompts)
{
    RouterFixture fixture;
    fixture.addUpstream("u0", 0);
    fixture.addUpstream("u1", 0);
    LoadReport longPromptReport = makeReport("u0", 400'000, 2);
    longPromptReport.shortBacklog = 0;
    LoadReport shortPromptReport = makeReport("u1", 20'000, 2);
    fixture.loadView.observeReport(longPromptReport, start);
    fixture.loadView.observeReport(shortPromptReport, start);
    BOOST_TEST(fixture.choose(2'000).upstream == "u0");
    BOOST_TEST(fixture.choose(200'000).upstream == "u1");
}

// Guards against choosing a far upstream for a request that a near one serves as fast.
BOOST_AUTO_TEST_CASE(far_upstream_is_used_only_when_faster)
{
    RouterFixture fixture;
    fixture.addUpstream("near", 1'000);
    fixture.addUpstream("far", 0, 2);
    BOOST_TEST(fixture.choose(2'000).upstream == "near");
    fixture.loadView.observeReport(makeReport("near", 50'000, 2), start);
    BOOST_TEST(fixture.choose(2'000).upstream == "far");
}

// Guards against prefix affinity that overloads the engine with a popular prefix.
BOOST_AUTO_TEST_CASE(prefix_affinity_is_limited_by_load)
{
    RouterFixture fixture;
    for (int number = 0; number < 20; ++number)
        fixture.addUpstream("u" + std::to_string(number), 0);
    const std::vector<PrefixHash> prefixes = prefixHashes("m", std::string(200'000, 'x'));
    fixture.prefixIndex.recordPrompt(prefixes, "u7", start);
    const RouteDecision decision = fixture.choose(50'000, start, prefixes);
    BOOST_TEST(decision.upstream == "u7");
    BOOST_TEST(decision.cachedTokens > 30'000);
    fixture.loadView.observeReport(makeReport("u7", 40'000, 2), start);
    BOOST_TEST(fixture.choose(50'000, start, prefixes).upstream != "u7");
}

// Guards against new requests for draining, suspect, ejected or already tried upstreams.
BOOST_AUTO_TEST_CASE(ineligible_upstreams_are_not_chosen)
{
    RouterFixture fixture;
    for (const char *upstream : { "draining", "suspect", "ejected", "tried" })
        fixture.addUpstream(upstream, 0);
    LoadReport drainingReport = makeReport("draining", 0, 2);
    drainingReport.accepting = false;
    fixture.loadView.observeReport(drainingReport, start);
    fixture.candidates[1].usable = false;
    fixture.candidates[2].trafficShare = 0;
    const std::vector<std::string> tried { "tried" };
    const RouteRequest request { .model = "m", .promptTokens = 1'000, .tried = tried };
    const RouteDecision decision =
            fixture.router.choose(request, fixture.candidates, start, fixture.random);
    BOOST_TEST(!decision);
    BOOST_TEST((decision.refusal == RefusalReason::NoUpstream));
    LeastOutstandingPolicy baseline(fixture.costModel, fixture.loadView);
    BOOST_TEST(!baseline.choose(request, {}, start, fixture.random));
}

// Guards against a prompt that does not fit on any engine, and against a group larger than needed.
BOOST_AUTO_TEST_CASE(oversized_prompt_gets_an_engine_group)
{
    RouterFixture fixture;
    for (const char *upstream : { "c", "a", "b", "d" })
        fixture.addUpstream(upstream, 0);
    const RouteDecision decision = fixture.choose(1'000'000);
    BOOST_TEST((decision.refusal == RefusalReason::UpstreamMemory));
    BOOST_TEST(decision.largestPlannableKvTokens == 360'000);
    const RouteRequest request { .model = "m", .promptTokens = 1'000'000 };
    const auto group = fixture.router.chooseGroup(request, fixture.candidates, start, 8);
    BOOST_TEST(group.size() == 3u);
    BOOST_TEST(std::is_sorted(group.begin(), group.end()));
    BOOST_TEST(fixture.router.chooseGroup(request, fixture.candidates, start, 2).empty());
}

// Guards against a fleet that counts as idle under a flood of short prompts: their backlog is small
// compared with that of long prompts, so that budgets refused nobody.
BOOST_AUTO_TEST_CASE(short_prompt_backlog_raises_short_prompt_pressure)
{
    constexpr double fullBacklogSeconds = 20;
    RouterFixture shortPromptFleet;
    RouterFixture longPromptFleet;
    for (int number = 0; number < 10; ++number) {
        const std::string upstream = "u" + std::to_string(number);
        LoadReport shortPromptReport = makeReport(upstream, 40'000);
        shortPromptReport.shortBacklog = 40'000;
        shortPromptFleet.loadView.observeReport(shortPromptReport, start);
        LoadReport longPromptReport = makeReport(upstream, 200'000);
        longPromptReport.shortBacklog = 0;
        longPromptFleet.loadView.observeReport(longPromptReport, start);
        shortPromptFleet.candidates.push_back({ .upstream = upstream });
        longPromptFleet.candidates.push_back({ .upstream = upstream });
    }
    BOOST_TEST(fleetPressure(shortPromptFleet.loadView, shortPromptFleet.candidates,
                             fullBacklogSeconds, start)
               < 0.2);
    BOOST_TEST(shortPromptPressure(shortPromptFleet.loadView, shortPromptFleet.candidates, start)
               > 1);
    BOOST_TEST(shortPromptPressure(longPromptFleet.loadView, longPromptFleet.candidates, start)
               < 0.1);
}

// Guards against relying on a prefix that was evicted without an event, and against unbounded
// memory.
BOOST_AUTO_TEST_CASE(prefix_index_handles_missing_eviction_events)
{
    PrefixIndex index(64, Seconds(600));
    const std::vector<PrefixHash> prefixes = prefixHashes("m", std::string(40'000, 'x'));
    BOOST_TEST((prefixHashes("other", std::string(40'000, 'x')) != prefixes));
    index.recordPrompt(prefixes, "u1", start);
    BOOST_TEST(index.find(prefixes, start).front().tokens == prefixes.back().tokens);
    BOOST_TEST(index.find(prefixes, start + Seconds(601)).empty());
    index.recordEviction(12'345, "u1"); // Unknown prefix.
    index.recordCachedTokens(prefixes, "u1", 1'000);
    BOOST_TEST(index.find(prefixes, start).front().tokens <= 1'000);
    for (int number = 0; number < 100; ++number)
        index.recordPrompt(prefixHashes("m", std::string(9'000, static_cast<char>(number))), "u2",
                           start);
    BOOST_TEST(index.size() <= 64u);
    index.forget("u2");
    BOOST_TEST(index.size() == 0u);
}
