#include "EngineFleet.h"
#include "lavenderpick/Forward/PlacementQueue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

// Engine parameters from the users' specification.
const EngineParameters engine {
    .maximumBatchSize = 16,
    .kvCapacityTokens = 315'000,
    .tokensPerPass = 51,
    .prefillChunkTokens = 2'048,
    .stepMs = 0.85,
    .stepMsPerSequence = 0.00425,
    .stepMsPerThousandContextTokens = 0.00285,
    .prefillTokensPerMs = 177,
    .prefillMsPerMillionPairs = 0.184,
};

/// A class of requests from the users' specification.
struct RequestClass
{
    double perSecond;
    std::int64_t promptTokens;
    std::int64_t outputTokens;
    double objectiveMs;
    double gapMs;
};

const RequestClass reply { 47, 5'000, 1'650, 300, 250 };
const RequestClass summary { 2.39, 45'000, 1'000, 1'500, 600 };
const RequestClass archive { 1.44, 154'000, 820, 3'000, 1'000 };

struct Outcome
{
    int submitted { 0 };
    int onTime { 0 };

    double share() const { return submitted == 0 ? 1 : static_cast<double>(onTime) / submitted; }
};

enum class Policy {
    Placer,
    RoundRobin,
};

/// Simulates a mix of requests at 23 engines behind one gateway.
class WorkloadSimulation
{
public:
    explicit WorkloadSimulation(Policy policy)
        : m_policy(policy)
    { }

    void run(double seconds, double replyFactor, double summaryFactor, double archiveFactor)
    {
        addArrivals(reply, replyFactor, seconds);
        addArrivals(summary, summaryFactor, seconds);
        addArrivals(archive, archiveFactor, seconds);
        std::sort(m_arrivals.begin(), m_arrivals.end(),
                  [](const auto &a, const auto &b) { return a.atMs < b.atMs; });
        std::size_t next = 0;
        constexpr double stepMs = 10;
        constexpr double tailMs = 20'000;
        for (double now = 0; now < seconds * 1000 + tailMs; now += stepMs) {
            m_fleet.runUntil(
                    now, [&](std::uint64_t id) { m_ledger.markPrefilled(key(id), at(now)); },
                    [&](std::uint64_t id) { m_ledger.end(key(id), at(now)); });
            for (const std::uint64_t id : m_queue.inOrder()) {
                m_queue.remove(id);
                place(id, now);
            }
            for (; next < m_arrivals.size() && m_arrivals[next].atMs <= now; ++next) {
                m_generations.push_back({ .size = { m_arrivals[next].promptTokens,
                                                    m_arrivals[next].requestClass->outputTokens },
                                          .arrivedMs = now });
                m_requestClasses.push_back(m_arrivals[next].requestClass);
                place(m_generations.size() - 1, now);
            }
        }
    }

    Outcome outcome(const RequestClass &requestClass) const
    {
        Outcome result;
        for (std::size_t index = 0; index < m_generations.size(); ++index) {
            if (m_requestClasses[index] != &requestClass)
                continue;
            ++result.submitted;
            const SimulatedGeneration &generation = m_generations[index];
            result.onTime += generation.finished
                    && generation.firstEventMs <= requestClass.objectiveMs
                    && generation.longestGapMs <= requestClass.gapMs;
        }
        return result;
    }

private:
    struct Arrival
    {
        double atMs;
        const RequestClass *requestClass;
        std::int64_t promptTokens;
    };

    static PlacementKey key(std::uint64_t id) { return { .gateway = "g", .number = id }; }
    static TimePoint at(double ms) { return start + fromMilliseconds(ms); }

    void addArrivals(const RequestClass &requestClass, double factor, double seconds)
    {
        double atMs = 0;
        while (true) {
            atMs += -std::log(1 - m_random.unit()) * 1000 / (requestClass.perSecond * factor);
            if (atMs > seconds * 1000)
                return;
            // Prompt lengths range from 0.5 to 1.5 times the mean.
            const double spread = 0.5 + m_random.unit();
            m_arrivals.push_back(
                    { atMs, &requestClass,
                      static_cast<std::int64_t>(static_cast<double>(requestClass.promptTokens)
                                                * spread) });
        }
    }

    void place(std::uint64_t id, double now)
    {
        const RequestClass &requestClass = *m_requestClasses[id];
        SimulatedGeneration &generation = m_generations[id];
        PlacementDecision decision;
        if (m_policy == Policy::RoundRobin) {
            const std::string upstream = m_fleet.upstreams()[id % m_fleet.upstreams().size()]->id;
            decision.upstream = upstream;
            decision.placement.parts = { { .upstream = upstream,
                                           .prefillMs = prefillMs(engine,
                                                                  generation.size.promptTokens, 1),
                                           .decodes = true } };
        } else {
            const double waitedMs = now - generation.arrivedMs;
            decision = m_placer.placeGeneration(
                    { .size = generation.size,
                      .objective = fromMilliseconds(requestClass.objectiveMs),
                      .objectiveLeft = fromMilliseconds(requestClass.objectiveMs - waitedMs),
                      .deadlineLeft = fromMilliseconds(10'000 - waitedMs),
                      .gapObjective = fromMilliseconds(requestClass.gapMs),
                      .availabilityZone = "a" },
                    engine, m_fleet.upstreams(), m_ledger, at(now));
            if (!decision.isPlaced())
                return;
            const double dueMs = generation.arrivedMs + requestClass.objectiveMs;
            const double latestStart = dueMs - decision.bestCaseFirstEventMs - 80;
            const bool isGood =
                    decision.interferenceCost <= 0 && now + decision.predictedFirstEventMs <= dueMs;
            if (!isGood && now < latestStart) {
                m_queue.add(id, at(latestStart));
                return;
            }
            decision.placement.expires = at(now) + Seconds(30);
            m_ledger.begin(key(id), decision.placement, at(now));
        }
        const double arrivedMs = generation.arrivedMs;
        generation.arrivedMs = now;
        m_fleet.submit(id, decision, generation);
        generation.arrivedMs = arrivedMs;
    }

    Policy m_policy;
    SeededRandom m_random { 7 };
    Placer m_placer { PlacerSettings {}, m_random };
    LoadLedger m_ledger;
    PlacementQueue m_queue;
    EngineFleet m_fleet { engine, 23 };
    std::vector<Arrival> m_arrivals;
    std::deque<SimulatedGeneration> m_generations;
    std::vector<const RequestClass *> m_requestClasses;
};

UpstreamRecord upstream(const std::string &id)
{
    return { .id = id, .service = "s", .availabilityZone = "a", .capacity = 16 };
}

/// Four engines behind one gateway.
struct Fixture
{
    std::vector<UpstreamRecord> records { upstream("a"), upstream("b"), upstream("c"),
                                          upstream("d") };
    std::vector<const UpstreamRecord *> upstreams { records.data(), records.data() + 1,
                                                    records.data() + 2, records.data() + 3 };
    SeededRandom random { 3 };
    Placer placer { PlacerSettings {}, random };
    LoadLedger ledger;
    std::uint64_t lastNumber { 0 };

    PlacementRequest request(const RequestClass &requestClass) const
    {
        return { .size = { requestClass.promptTokens, requestClass.outputTokens },
                 .objective = fromMilliseconds(requestClass.objectiveMs),
                 .objectiveLeft = fromMilliseconds(requestClass.objectiveMs),
                 .deadlineLeft = Seconds(10),
                 .gapObjective = fromMilliseconds(requestClass.gapMs),
                 .availabilityZone = "a" };
    }

    PlacementKey open(const std::string &id, const RequestClass &requestClass, double prefillMs)
    {
        const PlacementKey key { .gateway = "g", .number = ++lastNumber };
        ledger.begin(key,
                     { .parts = { { .upstream = id,
                                    .prefillMs = prefillMs,
                                    .kvCacheTokens = requestClass.promptTokens,
                                    .decodes = true } },
                       .size = { requestClass.promptTokens, requestClass.outputTokens },
                       .gapObjective = fromMilliseconds(requestClass.gapMs),
                       .firstEventDue = start + fromMilliseconds(requestClass.objectiveMs),
                       .expires = start + Seconds(20) },
                     start);
        return key;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacerTests, Fixture)

BOOST_AUTO_TEST_CASE(longPromptsAvoidEnginesWithTightGapObjectives)
{
    for (const char *id : { "a", "b", "c" })
        ledger.markPrefilled(open(id, reply, 30), start);
    PlacementRequest halfLengthArchive = request(archive);
    halfLengthArchive.size.promptTokens /= 2;
    const auto decision =
            placer.placeGeneration(halfLengthArchive, engine, upstreams, ledger, start);
    BOOST_CHECK_EQUAL(decision.upstream, "d");
    BOOST_CHECK_EQUAL(decision.interferenceCost, 0);
}

BOOST_AUTO_TEST_CASE(longPromptsAreSplitOverIdleEngines)
{
    const auto decision =
            placer.placeGeneration(request(archive), engine, upstreams, ledger, start);
    BOOST_CHECK_GE(decision.helpers.size(), 2);
    BOOST_CHECK_LT(decision.predictedFirstEventMs, archive.objectiveMs / 2);
}

BOOST_AUTO_TEST_CASE(shortRequestsArePackedOntoOneEngine)
{
    ledger.markPrefilled(open("b", reply, 30), start);
    const auto decision = placer.placeGeneration(request(reply), engine, upstreams, ledger, start);
    BOOST_CHECK_EQUAL(decision.upstream, "b");
}

BOOST_AUTO_TEST_CASE(shortPromptsAvoidEnginesBusyWithPrefill)
{
    ledger.markPrefilled(open("b", reply, 30), start);
    open("b", summary, 900);
    const auto decision = placer.placeGeneration(request(reply), engine, upstreams, ledger, start);
    BOOST_CHECK_NE(decision.upstream, "b");
}

BOOST_AUTO_TEST_CASE(cheapestEngineWithoutFreeKvCacheIsSkipped)
{
    // Engine "b" is the cheapest, since short requests are packed there, but its KV cache is full.
    ledger.markPrefilled(open("b", reply, 1), start);
    for (int prompt = 0; prompt < 2; ++prompt)
        ledger.markPrefilled(open("b", archive, 1), start);
    const auto decision = placer.placeGeneration(request(reply), engine, upstreams, ledger, start);
    BOOST_REQUIRE(decision.isPlaced());
    BOOST_CHECK_NE(decision.upstream, "b");
    BOOST_CHECK(decision.reservations.empty());
}

BOOST_AUTO_TEST_CASE(requestIsPlacedBeforeItsDeadlineEvenIfItDelaysOthers)
{
    for (int place = 0; place < engine.maximumBatchSize; ++place)
        ledger.markPrefilled(open("a", reply, 1), start);
    for (const char *id : { "b", "c", "d" })
        open(id, summary, summary.objectiveMs - 70);
    PlacementRequest impatient = request(reply);
    impatient.deadlineLeft = Milliseconds(1'700);
    const auto decision = placer.placeGeneration(impatient, engine, upstreams, ledger, start);
    BOOST_REQUIRE(decision.isPlaced());
    BOOST_CHECK_LE(decision.predictedFirstEventMs, 1'700);
}

BOOST_AUTO_TEST_CASE(missingKvCacheIsReservedAtHelpers)
{
    PlacementRequest huge = request(archive);
    huge.size.promptTokens = 600'000;
    huge.deadlineLeft = Seconds(60);
    const auto decision = placer.placeGeneration(huge, engine, upstreams, ledger, start);
    BOOST_REQUIRE(decision.isPlaced());
    std::int64_t reserved = 0;
    for (const MemoryReservation &reservation : decision.reservations)
        reserved += reservation.tokens;
    BOOST_CHECK_GE(reserved + engine.kvCapacityTokens, 600'000);
}

BOOST_AUTO_TEST_CASE(promptsThatExceedAllKvCacheAreNotPlaced)
{
    PlacementRequest huge = request(archive);
    huge.size.promptTokens = 5'000'000;
    huge.deadlineLeft = Seconds(100'000);
    BOOST_CHECK(!placer.placeGeneration(huge, engine, upstreams, ledger, start).isPlaced());
}

// Guards against queueing a request too long: the best case must include the decode pass of the
// busy engines, not of idle ones.
BOOST_AUTO_TEST_CASE(bestCaseFirstEventIncludesDecodeWait)
{
    const PlacementRequest shortRequest = request(reply);
    const double idleMs = placer.placeGeneration(shortRequest, engine, upstreams, ledger, start)
                                  .bestCaseFirstEventMs;
    for (const UpstreamRecord *record : upstreams) {
        for (int stream = 0; stream < engine.maximumBatchSize; ++stream)
            ledger.markPrefilled(open(record->id, reply, 30), start);
    }
    const UpstreamLoad &load = ledger.load("a");
    const double passMs = decodePassMs(engine, load.decodingRequests(), load.contextTokens());
    const PlacementDecision decision =
            placer.placeGeneration(shortRequest, engine, upstreams, ledger, start);
    // Sixteen streams that generate half of their maximum end at even intervals.
    const double passes = std::ceil(static_cast<double>(reply.outputTokens) / engine.tokensPerPass);
    const double slotWaitMs = passes / 2 * passMs / engine.maximumBatchSize;
    BOOST_CHECK_CLOSE(decision.bestCaseFirstEventMs, idleMs + passMs + slotWaitMs, 1e-6);
}

// Guards against giving up on a long prompt that can't be on time: its caller still waits for it.
BOOST_AUTO_TEST_CASE(latePromptsAreStillSplit)
{
    PlacementRequest late = request(archive);
    const PlacementDecision inTime = placer.placeGeneration(late, engine, upstreams, ledger, start);
    late.objectiveLeft = Milliseconds(50);
    const PlacementDecision decision =
            placer.placeGeneration(late, engine, upstreams, ledger, start);
    BOOST_CHECK_EQUAL(decision.helpers.size(), 3);
    BOOST_CHECK_LE(decision.predictedFirstEventMs, inTime.predictedFirstEventMs + 1);
    late.objectiveLeft = -Seconds(2);
    BOOST_CHECK_EQUAL(placer.placeGeneration(late, engine, upstreams, ledger, start).helpers.size(),
                      3);
}

BOOST_AUTO_TEST_CASE(excludedUpstreamsAreNotChosen)
{
    PlacementRequest again = request(reply);
    again.excluded = { "a", "b", "c" };
    BOOST_CHECK_EQUAL(placer.placeGeneration(again, engine, upstreams, ledger, start).upstream,
                      "d");
    BOOST_CHECK_EQUAL(placer.placeCall(again, upstreams, ledger, start).upstream, "d");
    again.excluded.insert("d");
    const auto none = placer.placeCall(again, upstreams, ledger, start);
    BOOST_CHECK(!none.isPlaced() && !none.retryAfter);
}

BOOST_AUTO_TEST_CASE(upstreamsAtTheirLimitOnlyHelp)
{
    PlacementRequest limited = request(archive);
    limited.helpersOnly = { "a", "b", "c" };
    const auto split = placer.placeGeneration(limited, engine, upstreams, ledger, start);
    BOOST_CHECK_EQUAL(split.upstream, "d");
    BOOST_CHECK_GE(split.helpers.size(), 2);
    BOOST_CHECK_LT(split.predictedFirstEventMs, archive.objectiveMs / 2);
    limited.helpersOnly.insert("d");
    const auto none = placer.placeGeneration(limited, engine, upstreams, ledger, start);
    BOOST_CHECK(!none.isPlaced());
    BOOST_CHECK(!none.retryAfter);
    BOOST_CHECK(!placer.placeCall(limited, upstreams, ledger, start).isPlaced());
}

BOOST_AUTO_TEST_CASE(callsGoToTheLeastUtilizedUpstream)
{
    open("a", reply, 0);
    open("c", reply, 0);
    open("d", reply, 0);
    BOOST_CHECK_EQUAL(placer.placeCall(request(reply), upstreams, ledger, start).upstream, "b");
}

BOOST_AUTO_TEST_SUITE_END()

// Users are promised a short time to first token while long prompts are running. On days with
// little load, 90% of the requests must be on time.
BOOST_AUTO_TEST_SUITE(PlacerLoadTests)

BOOST_AUTO_TEST_CASE(mostlyShortRequestsMeetObjectives)
{
    WorkloadSimulation run(Policy::Placer);
    run.run(10, 2.4, 0.5, 0.05);
    BOOST_CHECK_GE(run.outcome(reply).share(), 0.9);
    BOOST_CHECK_GE(run.outcome(summary).share(), 0.9);
}

BOOST_AUTO_TEST_CASE(mostlyLongPromptsMeetObjectives)
{
    WorkloadSimulation run(Policy::Placer);
    run.run(10, 0.35, 1.3, 2);
    BOOST_CHECK_GE(run.outcome(reply).share(), 0.9);
    BOOST_CHECK_GE(run.outcome(archive).share(), 0.9);
}

BOOST_AUTO_TEST_CASE(placerOutperformsRoundRobinOnMixedLoad)
{
    WorkloadSimulation policy(Policy::Placer);
    policy.run(10, 0.35, 1.3, 2);
    WorkloadSimulation roundRobin(Policy::RoundRobin);
    roundRobin.run(10, 0.35, 1.3, 2);
    BOOST_CHECK_GT(policy.outcome(reply).share(), roundRobin.outcome(reply).share());
    BOOST_CHECK_GT(policy.outcome(archive).share(), roundRobin.outcome(archive).share());
}

BOOST_AUTO_TEST_SUITE_END()
