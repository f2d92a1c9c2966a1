#include "EngineFleet.h"
#include "lavenderpick/Forward/PlacementQueue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

// The engines of the users' sheets.
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

/// A kind of request on the users' sheets.
struct Kind
{
    double perSecond;
    std::int64_t promptTokens;
    std::int64_t outputTokens;
    double objectiveMs;
    double gapMs;
};

const Kind reply { 47, 5'000, 1'650, 300, 250 };
const Kind summary { 2.39, 45'000, 1'000, 1'500, 600 };
const Kind archive { 1.44, 154'000, 820, 3'000, 1'000 };

struct Outcome
{
    int asked { 0 };
    int onTime { 0 };

    double share() const { return asked == 0 ? 1 : static_cast<double>(onTime) / asked; }
};

enum class Policy {
    Placer,
    RoundRobin,
};

/// Plays `seconds` of the mix at 23 engines through one decision point.
class MixPlay
{
public:
    explicit MixPlay(Policy policy)
        : m_policy(policy)
    { }

    void play(double seconds, double replyFactor, double ledgerFactor, double archiveFactor)
    {
        addArrivals(reply, replyFactor, seconds);
        addArrivals(summary, ledgerFactor, seconds);
        addArrivals(archive, archiveFactor, seconds);
        std::sort(m_arrivals.begin(), m_arrivals.end(),
                  [](const auto &a, const auto &b) { return a.atMs < b.atMs; });
        std::size_t next = 0;
        constexpr double stepMs = 10;
        constexpr double tailMs = 20'000;
        for (double now = 0; now < seconds * 1000 + tailMs; now += stepMs) {
            m_fleet.runUntil(
                    now, [&](std::uint64_t id) { m_ledger.markRead(key(id), at(now)); },
                    [&](std::uint64_t id) { m_ledger.end(key(id), at(now)); });
            for (const std::uint64_t id : m_queue.inOrder()) {
                m_queue.remove(id);
                place(id, now);
            }
            for (; next < m_arrivals.size() && m_arrivals[next].atMs <= now; ++next) {
                m_played.push_back({ .size = { m_arrivals[next].promptTokens,
                                               m_arrivals[next].kind->outputTokens },
                                     .arrivedMs = now });
                m_kinds.push_back(m_arrivals[next].kind);
                place(m_played.size() - 1, now);
            }
        }
    }

    Outcome outcome(const Kind &kind) const
    {
        Outcome result;
        for (std::size_t index = 0; index < m_played.size(); ++index) {
            if (m_kinds[index] != &kind)
                continue;
            ++result.asked;
            const PlayedGeneration &played = m_played[index];
            result.onTime += played.finished && played.firstMs <= kind.objectiveMs
                    && played.longestGapMs <= kind.gapMs;
        }
        return result;
    }

private:
    struct Arrival
    {
        double atMs;
        const Kind *kind;
        std::int64_t promptTokens;
    };

    static PlacementKey key(std::uint64_t id) { return { .gateway = "g", .number = id }; }
    static TimePoint at(double ms) { return start + fromMilliseconds(ms); }

    void addArrivals(const Kind &kind, double factor, double seconds)
    {
        double atMs = 0;
        while (true) {
            atMs += -std::log(1 - m_random.unit()) * 1000 / (kind.perSecond * factor);
            if (atMs > seconds * 1000)
                return;
            // Lengths vary by half to one and a half times the mean.
            const double spread = 0.5 + m_random.unit();
            m_arrivals.push_back(
                    { atMs, &kind,
                      static_cast<std::int64_t>(static_cast<double>(kind.promptTokens) * spread) });
        }
    }

    void place(std::uint64_t id, double now)
    {
        const Kind &kind = *m_kinds[id];
        PlayedGeneration &played = m_played[id];
        PlacementDecision decision;
        if (m_policy == Policy::RoundRobin) {
            const std::string upstream = m_fleet.upstreams()[id % m_fleet.upstreams().size()]->id;
            decision.upstream = upstream;
            decision.placement.parts = { { .upstream = upstream,
                                           .readMs = readMs(engine, played.size.promptTokens, 1),
                                           .writes = true } };
        } else {
            const double waitedMs = now - played.arrivedMs;
            decision = m_placer.placeGeneration(
                    { .size = played.size,
                      .objective = fromMilliseconds(kind.objectiveMs),
                      .objectiveLeft = fromMilliseconds(kind.objectiveMs - waitedMs),
                      .patienceLeft = fromMilliseconds(10'000 - waitedMs),
                      .gapObjective = fromMilliseconds(kind.gapMs),
                      .availabilityZone = "a" },
                    engine, m_fleet.upstreams(), m_ledger, at(now));
            if (!decision.isPlaced())
                return;
            const double dueMs = played.arrivedMs + kind.objectiveMs;
            const double latestStart = dueMs - decision.fastestFirstMs - 80;
            const bool isGood = decision.harm <= 0 && now + decision.predictedFirstMs <= dueMs;
            if (!isGood && now < latestStart) {
                m_queue.add(id, at(latestStart));
                return;
            }
            decision.placement.expires = at(now) + Seconds(30);
            m_ledger.begin(key(id), decision.placement, at(now));
        }
        const double arrivedMs = played.arrivedMs;
        played.arrivedMs = now;
        m_fleet.submit(id, decision, played);
        played.arrivedMs = arrivedMs;
    }

    Policy m_policy;
    SeededRandom m_random { 7 };
    Placer m_placer { PlacerSettings {}, m_random };
    LoadLedger m_ledger;
    PlacementQueue m_queue;
    EngineFleet m_fleet { engine, 23 };
    std::vector<Arrival> m_arrivals;
    std::deque<PlayedGeneration> m_played;
    std::vector<const Kind *> m_kinds;
};

UpstreamRecord upstream(const std::string &id)
{
    return { .id = id, .service = "s", .availabilityZone = "a", .capacity = 16 };
}

/// Four engines and one decision point.
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

    PlacementRequest request(const Kind &kind) const
    {
        return { .size = { kind.promptTokens, kind.outputTokens },
                 .objective = fromMilliseconds(kind.objectiveMs),
                 .objectiveLeft = fromMilliseconds(kind.objectiveMs),
                 .patienceLeft = Seconds(10),
                 .gapObjective = fromMilliseconds(kind.gapMs),
                 .availabilityZone = "a" };
    }

    PlacementKey open(const std::string &id, const Kind &kind, double read)
    {
        const PlacementKey key { .gateway = "g", .number = ++lastNumber };
        ledger.begin(key,
                     { .parts = { { .upstream = id,
                                    .readMs = read,
                                    .memoryTokens = kind.promptTokens,
                                    .writes = true } },
                       .size = { kind.promptTokens, kind.outputTokens },
                       .gapObjective = fromMilliseconds(kind.gapMs),
                       .firstDue = start + fromMilliseconds(kind.objectiveMs),
                       .expires = start + Seconds(20) },
                     start);
        return key;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacerTests, Fixture)

BOOST_AUTO_TEST_CASE(aLongPromptKeepsAwayFromStreamsThatItWouldPause)
{
    for (const char *id : { "a", "b", "c" })
        ledger.markRead(open(id, reply, 30), start);
    PlacementRequest halfArchive = request(archive);
    halfArchive.size.promptTokens /= 2;
    const auto decision = placer.placeGeneration(halfArchive, engine, upstreams, ledger, start);
    BOOST_CHECK_EQUAL(decision.upstream, "d");
    BOOST_CHECK_EQUAL(decision.harm, 0);
}

BOOST_AUTO_TEST_CASE(aLongPromptIsSplitOverIdleEngines)
{
    const auto decision =
            placer.placeGeneration(request(archive), engine, upstreams, ledger, start);
    BOOST_CHECK_GE(decision.helpers.size(), 2);
    BOOST_CHECK_LT(decision.predictedFirstMs, archive.objectiveMs / 2);
}

BOOST_AUTO_TEST_CASE(shortStreamsGatherAtOneEngine)
{
    ledger.markRead(open("b", reply, 30), start);
    const auto decision = placer.placeGeneration(request(reply), engine, upstreams, ledger, start);
    BOOST_CHECK_EQUAL(decision.upstream, "b");
}

BOOST_AUTO_TEST_CASE(aShortPromptAvoidsAnEngineThatReads)
{
    ledger.markRead(open("b", reply, 30), start);
    open("b", summary, 900);
    const auto decision = placer.placeGeneration(request(reply), engine, upstreams, ledger, start);
    BOOST_CHECK_NE(decision.upstream, "b");
}

BOOST_AUTO_TEST_CASE(anEngineWithoutMemoryDoesNotStandForAll)
{
    // Engine "b" is the cheapest, since streams gather there, and its memory is full.
    ledger.markRead(open("b", reply, 1), start);
    for (int prompt = 0; prompt < 2; ++prompt)
        ledger.markRead(open("b", archive, 1), start);
    const auto decision = placer.placeGeneration(request(reply), engine, upstreams, ledger, start);
    BOOST_REQUIRE(decision.isPlaced());
    BOOST_CHECK_NE(decision.upstream, "b");
    BOOST_CHECK(decision.reservations.empty());
}

BOOST_AUTO_TEST_CASE(aCallerIsServedInItsPatienceAlsoWhereAnotherIsMadeLate)
{
    for (int place = 0; place < engine.maximumBatchSize; ++place)
        ledger.markRead(open("a", reply, 1), start);
    for (const char *id : { "b", "c", "d" })
        open(id, summary, summary.objectiveMs - 70);
    PlacementRequest impatient = request(reply);
    impatient.patienceLeft = Milliseconds(1'700);
    const auto decision = placer.placeGeneration(impatient, engine, upstreams, ledger, start);
    BOOST_REQUIRE(decision.isPlaced());
    BOOST_CHECK_LE(decision.predictedFirstMs, 1'700);
}

BOOST_AUTO_TEST_CASE(memoryThatIsMissingIsReservedAtHelpers)
{
    PlacementRequest huge = request(archive);
    huge.size.promptTokens = 600'000;
    huge.patienceLeft = Seconds(60);
    const auto decision = placer.placeGeneration(huge, engine, upstreams, ledger, start);
    BOOST_REQUIRE(decision.isPlaced());
    std::int64_t reserved = 0;
    for (const MemoryReservation &reservation : decision.reservations)
        reserved += reservation.tokens;
    BOOST_CHECK_GE(reserved + engine.kvCapacityTokens, 600'000);
}

BOOST_AUTO_TEST_CASE(whatCannotFitIsNotPlaced)
{
    PlacementRequest huge = request(archive);
    huge.size.promptTokens = 5'000'000;
    huge.patienceLeft = Seconds(100'000);
    BOOST_CHECK(!placer.placeGeneration(huge, engine, upstreams, ledger, start).isPlaced());
}

// A request that waits here must leave in time for the pass of a busy engine, not of an idle one.
BOOST_AUTO_TEST_CASE(busyEnginesLeaveNoTimeToWait)
{
    const PlacementRequest shortRequest = request(reply);
    const double idleMs =
            placer.placeGeneration(shortRequest, engine, upstreams, ledger, start).fastestFirstMs;
    for (const UpstreamRecord *record : upstreams) {
        for (int stream = 0; stream < engine.maximumBatchSize; ++stream)
            ledger.markRead(open(record->id, reply, 30), start);
    }
    const UpstreamLoad &load = ledger.load("a");
    const double passMs = writingPassMs(engine, load.writers(), load.contextTokens());
    const PlacementDecision decision =
            placer.placeGeneration(shortRequest, engine, upstreams, ledger, start);
    // Sixteen streams that write half of their maximum end evenly spread over their time.
    const double passes = std::ceil(static_cast<double>(reply.outputTokens) / engine.tokensPerPass);
    const double placeMs = passes / 2 * passMs / engine.maximumBatchSize;
    BOOST_CHECK_CLOSE(decision.fastestFirstMs, idleMs + passMs + placeMs, 1e-6);
}

// Guards against giving up on a long prompt that can't be on time: its caller still waits.
BOOST_AUTO_TEST_CASE(aLatePromptIsStillReadFast)
{
    PlacementRequest late = request(archive);
    const PlacementDecision inTime = placer.placeGeneration(late, engine, upstreams, ledger, start);
    late.objectiveLeft = Milliseconds(50);
    const PlacementDecision decision =
            placer.placeGeneration(late, engine, upstreams, ledger, start);
    BOOST_CHECK_EQUAL(decision.helpers.size(), 3);
    BOOST_CHECK_LE(decision.predictedFirstMs, inTime.predictedFirstMs + 1);
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

BOOST_AUTO_TEST_CASE(callsGoWhereTheSmallestShareIsTaken)
{
    open("a", reply, 0);
    open("c", reply, 0);
    open("d", reply, 0);
    BOOST_CHECK_EQUAL(placer.placeCall(request(reply), upstreams, ledger, start).upstream, "b");
}

BOOST_AUTO_TEST_SUITE_END()

// The users' promise is a short first token beside long prompts; nine in ten on time is the share
// that quiet days are held to.
BOOST_AUTO_TEST_SUITE(PlacerLoadTests)

BOOST_AUTO_TEST_CASE(manyShortRequestsBesideFewLongOnes)
{
    MixPlay play(Policy::Placer);
    play.play(10, 2.4, 0.5, 0.05);
    BOOST_CHECK_GE(play.outcome(reply).share(), 0.9);
    BOOST_CHECK_GE(play.outcome(summary).share(), 0.9);
}

BOOST_AUTO_TEST_CASE(longPromptsTakeOver)
{
    MixPlay play(Policy::Placer);
    play.play(10, 0.35, 1.3, 2);
    BOOST_CHECK_GE(play.outcome(reply).share(), 0.9);
    BOOST_CHECK_GE(play.outcome(archive).share(), 0.9);
}

BOOST_AUTO_TEST_CASE(roundRobinMakesShortRequestsLateBesideLongOnes)
{
    MixPlay policy(Policy::Placer);
    policy.play(10, 0.35, 1.3, 2);
    MixPlay roundRobin(Policy::RoundRobin);
    roundRobin.play(10, 0.35, 1.3, 2);
    BOOST_CHECK_GT(policy.outcome(reply).share(), roundRobin.outcome(reply).share());
    BOOST_CHECK_GT(policy.outcome(archive).share(), roundRobin.outcome(archive).share());
}

BOOST_AUTO_TEST_SUITE_END()
