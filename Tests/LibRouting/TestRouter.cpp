#include "lavenderpick/Routing/BaselinePolicies.h"
#include "lavenderpick/Routing/Router.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

LoadReport report(const std::string &upstream, std::int64_t backlog, std::int64_t sequence = 1)
{
    LoadReport result;
    result.upstream = upstream;
    result.incarnation = 1;
    result.sequence = sequence;
    result.kvCapacity = 450'000;
    result.prefillBacklog = backlog;
    return result;
}

/// The view and the router of one entry.
struct EntryView
{
    CostModel costs;
    LoadView view { costs };
    PrefixIndex prefixes;
    Router router { {}, costs, view, prefixes };
    SeededRandom random { 1 };
    std::vector<Candidate> candidates;

    void add(const std::string &upstream, std::int64_t backlog, int distance = 0)
    {
        view.observeReport(report(upstream, backlog), start);
        candidates.push_back({ .upstream = upstream, .distance = distance });
    }

    RouteDecision choose(std::int64_t tokens, TimePoint now = start,
                         std::span<const PrefixPoint> prefix = {})
    {
        return router.choose({ .model = "m", .promptTokens = tokens, .prefix = prefix }, candidates,
                             now, random);
    }
};

} // namespace

// Guards against herding: entries that share the same old reports must not all choose the one idle
// engine before the next report shows their work.
BOOST_AUTO_TEST_CASE(entries_with_old_reports_do_not_herd)
{
    int onIdle = 0;
    for (std::uint64_t entry = 0; entry < 100; ++entry) {
        EntryView one;
        one.random = SeededRandom(entry);
        for (int number = 0; number < 24; ++number)
            one.add("u" + std::to_string(number), number == 0 ? 0 : 20'000);
        for (int request = 0; request < 4; ++request) {
            const RouteDecision decision = one.choose(4'000);
            onIdle += decision.upstream == "u0" ? 1 : 0;
            one.view.recordSent(decision.upstream, std::to_string(request), decision.cost, true,
                                start);
        }
    }
    BOOST_TEST(onIdle > 40);  // It is still preferred: an even spread gives 17.
    BOOST_TEST(onIdle < 100); // A choice of the best gives 400.
}

// Guards against an entry that forgets its own work until the next report.
BOOST_AUTO_TEST_CASE(own_work_counts_until_a_report_shows_it)
{
    EntryView one;
    one.add("u0", 0);
    const PredictedCost cost = one.costs.predict("u0", "m", 10'000, 0, 100);
    one.view.recordSent("u0", "a1", cost, true, start + Seconds(1));
    const UpstreamLoad load = one.view.load("u0", start + Seconds(1));
    BOOST_TEST(load.shortWaitSeconds == cost.prefillSeconds);
    BOOST_TEST(load.kvFree == 450'000 - 10'100);
    BOOST_TEST(one.view.load("u0", start + Seconds(60)).shortWaitSeconds == 0);
    LoadReport late = report("u0", 500, 2);
    late.ageMilliseconds = 2'000; // From before the attempt.
    one.view.observeReport(late, start + Seconds(2));
    BOOST_TEST(one.view.load("u0", start + Seconds(2)).kvFree == 450'000 - 10'100);
    one.view.observeReport(report("u0", 500, 3), start + Seconds(2));
    BOOST_TEST(one.view.load("u0", start + Seconds(2)).kvFree == 450'000);
    one.view.recordFinished("u0", "a1");
    BOOST_TEST(one.view.load("u0", start + Seconds(2)).ownRequests == 0);
}

// Guards against short prompts that avoid an engine because of a long prompt which they overtake.
BOOST_AUTO_TEST_CASE(short_prompt_waits_for_short_work_only)
{
    EntryView one;
    one.add("u0", 0);
    one.add("u1", 0);
    LoadReport longWork = report("u0", 400'000, 2);
    longWork.shortBacklog = 0;
    LoadReport shortWork = report("u1", 20'000, 2);
    one.view.observeReport(longWork, start);
    one.view.observeReport(shortWork, start);
    BOOST_TEST(one.choose(2'000).upstream == "u0");
    BOOST_TEST(one.choose(200'000).upstream == "u1");
}

// Guards against distant upstreams for work that a near one does as fast.
BOOST_AUTO_TEST_CASE(far_zones_are_used_only_when_they_pay_off)
{
    EntryView one;
    one.add("near", 1'000);
    one.add("far", 0, 2);
    BOOST_TEST(one.choose(2'000).upstream == "near");
    one.view.observeReport(report("near", 50'000, 2), start);
    BOOST_TEST(one.choose(2'000).upstream == "far");
}

// Guards against affinity that piles work on the engine which holds a popular prefix.
BOOST_AUTO_TEST_CASE(affinity_is_bounded_by_load)
{
    EntryView one;
    for (int number = 0; number < 20; ++number)
        one.add("u" + std::to_string(number), 0);
    const std::vector<PrefixPoint> points = prefixPoints("m", std::string(200'000, 'x'));
    one.prefixes.recordPrompt(points, "u7", start);
    const RouteDecision decision = one.choose(50'000, start, points);
    BOOST_TEST(decision.upstream == "u7");
    BOOST_TEST(decision.cachedTokens > 30'000);
    one.view.observeReport(report("u7", 40'000, 2), start);
    BOOST_TEST(one.choose(50'000, start, points).upstream != "u7");
}

// Guards against new work for draining, suspect, ejected or already tried upstreams.
BOOST_AUTO_TEST_CASE(excluded_upstreams_get_no_work)
{
    EntryView one;
    for (const char *upstream : { "draining", "suspect", "ejected", "tried" })
        one.add(upstream, 0);
    LoadReport draining = report("draining", 0, 2);
    draining.accepting = false;
    one.view.observeReport(draining, start);
    one.candidates[1].usable = false;
    one.candidates[2].share = 0;
    const std::vector<std::string> tried { "tried" };
    const RouteRequest request { .model = "m", .promptTokens = 1'000, .tried = tried };
    const RouteDecision decision = one.router.choose(request, one.candidates, start, one.random);
    BOOST_TEST(!decision);
    BOOST_TEST((decision.refusal == RefusalReason::NoUpstream));
    LeastOutstandingPolicy baseline(one.costs, one.view);
    BOOST_TEST(!baseline.choose(request, {}, start, one.random));
}

// Guards against a prompt that no engine can hold, and against a group larger than needed.
BOOST_AUTO_TEST_CASE(prompt_over_one_engines_memory_gets_a_group)
{
    EntryView one;
    for (const char *upstream : { "c", "a", "b", "d" })
        one.add(upstream, 0);
    const RouteDecision decision = one.choose(1'000'000);
    BOOST_TEST((decision.refusal == RefusalReason::UpstreamMemory));
    BOOST_TEST(decision.largestCapacity == 360'000);
    const RouteRequest request { .model = "m", .promptTokens = 1'000'000 };
    const auto group = one.router.chooseGroup(request, one.candidates, start, 8);
    BOOST_TEST(group.size() == 3u);
    BOOST_TEST(std::is_sorted(group.begin(), group.end()));
    BOOST_TEST(one.router.chooseGroup(request, one.candidates, start, 2).empty());
}

// Guards against a flood of short prompts that leaves the fleet "idle": its backlog is small beside
// that of long prompts, so that budgets refused nobody.
BOOST_AUTO_TEST_CASE(flood_of_short_prompts_raises_the_short_pressure)
{
    constexpr double fullBacklogSeconds = 20;
    EntryView flooded;
    EntryView reading;
    for (int number = 0; number < 10; ++number) {
        const std::string upstream = "u" + std::to_string(number);
        LoadReport shorts = report(upstream, 40'000);
        shorts.shortBacklog = 40'000;
        flooded.view.observeReport(shorts, start);
        LoadReport longs = report(upstream, 200'000);
        longs.shortBacklog = 0;
        reading.view.observeReport(longs, start);
        flooded.candidates.push_back({ .upstream = upstream });
        reading.candidates.push_back({ .upstream = upstream });
    }
    BOOST_TEST(fleetPressure(flooded.view, flooded.candidates, fullBacklogSeconds, start) < 0.2);
    BOOST_TEST(shortPressure(flooded.view, flooded.candidates, start) > 1);
    BOOST_TEST(shortPressure(reading.view, reading.candidates, start) < 0.1);
}

// Guards against trust in a cache that was evicted without an event, and against unbounded memory.
BOOST_AUTO_TEST_CASE(prefix_index_tolerates_missing_events)
{
    PrefixIndex index(64, Seconds(600));
    const std::vector<PrefixPoint> points = prefixPoints("m", std::string(40'000, 'x'));
    BOOST_TEST((prefixPoints("other", std::string(40'000, 'x')) != points));
    index.recordPrompt(points, "u1", start);
    BOOST_TEST(index.find(points, start).front().tokens == points.back().tokens);
    BOOST_TEST(index.find(points, start + Seconds(601)).empty());
    index.recordEviction(12'345, "u1"); // Unknown prefix.
    index.recordCachedTokens(points, "u1", 1'000);
    BOOST_TEST(index.find(points, start).front().tokens <= 1'000);
    for (int number = 0; number < 100; ++number)
        index.recordPrompt(prefixPoints("m", std::string(9'000, static_cast<char>(number))), "u2",
                           start);
    BOOST_TEST(index.size() <= 64u);
    index.forget("u2");
    BOOST_TEST(index.size() == 0u);
}
