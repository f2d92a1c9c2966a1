#include "lavenderpick/Forward/SpareEngines.h"

#include "lavenderpick/Forward/Placer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <map>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

const EngineParameters engine {
    .maximumBatchSize = 10,
    .kvCapacityTokens = 315'000,
    .tokensPerPass = 80,
    .prefillChunkTokens = 2'048,
    .stepMs = 0.85,
    .stepMsPerSequence = 0.00425,
    .stepMsPerThousandContextTokens = 0.00285,
    .prefillTokensPerMs = 177,
    .prefillMsPerMillionPairs = 0.184,
};

constexpr Duration objective { Milliseconds(400) };
constexpr Duration streamDuration { Milliseconds(2'000) };
constexpr std::size_t enginesPerZone = 12;

/// One availability zone: its engines, its gateway's view of all engines, and what its callers got.
struct Zone
{
    std::string name;
    double arrivalsPerSecond { 0 };
    LoadLedger ledger;
    SpareEngines spare;
    std::vector<const UpstreamRecord *> engines;
    int arrived { 0 };
    int onTime { 0 };

    double onTimeShare() const { return static_cast<double>(onTime) / arrived; }
};

/// Plays short streams in zones with unequal traffic. An engine runs up to its batch size; the
/// others wait there. A placement is told to the gateways of the engine's zone.
class UnevenZones
{
public:
    UnevenZones(const std::vector<double> &arrivalsPerSecond, bool reportsSpareEngines)
        : m_reportsSpareEngines(reportsSpareEngines)
        , m_zones(arrivalsPerSecond.size())
    {
        for (std::size_t index = 0; index < m_zones.size(); ++index) {
            m_zones[index].name = "zone-" + std::to_string(index);
            m_zones[index].arrivalsPerSecond = arrivalsPerSecond[index];
            for (std::size_t number = 0; number < enginesPerZone; ++number) {
                const UpstreamRecord record { .id = m_zones[index].name + "-"
                                                      + std::to_string(number),
                                              .service = "s",
                                              .availabilityZone = m_zones[index].name,
                                              .capacity = engine.maximumBatchSize };
                m_directory.put(record);
            }
        }
        for (const UpstreamRecord *record : m_directory.ready("s"))
            zoneOf(*record).engines.push_back(record);
    }

    void play(Duration duration)
    {
        for (m_now = start; m_now < start + duration; m_now += Milliseconds(5)) {
            endStreams();
            if (m_reportsSpareEngines
                && (m_now - start).count() % SpareEngines::reportInterval.count() == 0)
                report();
            for (Zone &zone : m_zones) {
                const double expected = zone.arrivalsPerSecond * 0.005;
                if (m_random.unit() < expected)
                    place(zone);
            }
        }
    }

    const Zone &zone(std::size_t index) const { return m_zones[index]; }

private:
    Zone &zoneOf(const UpstreamRecord &record)
    {
        return *std::find_if(m_zones.begin(), m_zones.end(), [&](const Zone &zone) {
            return zone.name == record.availabilityZone;
        });
    }

    void report()
    {
        for (Zone &reporter : m_zones) {
            const auto ids = SpareEngines::choose(reporter.engines, reporter.ledger, m_now);
            for (Zone &receiver : m_zones) {
                if (&receiver != &reporter)
                    receiver.spare.record(reporter.name, ids, m_now);
            }
        }
    }

    PlacementDecision choose(Zone &zone, const PlacementRequest &request)
    {
        const auto own =
                m_placer.placeGeneration(request, engine, zone.engines, zone.ledger, m_now);
        if (own.isPlaced() && fromMilliseconds(own.predictedFirstEventMs) <= objective)
            return own;
        std::vector<const UpstreamRecord *> wider = zone.spare.usable(m_directory, "s", m_now);
        if (wider.empty())
            return own;
        wider.insert(wider.end(), zone.engines.begin(), zone.engines.end());
        return m_placer.placeGeneration(request, engine, wider, zone.ledger, m_now);
    }

    void place(Zone &zone)
    {
        const PlacementRequest request { .size = { 5'000, 1'600 },
                                         .objective = objective,
                                         .objectiveLeft = objective,
                                         .deadlineLeft = Seconds(10),
                                         .gapObjective = Milliseconds(300),
                                         .availabilityZone = zone.name };
        PlacementDecision decision = choose(zone, request);
        ++zone.arrived;
        if (!decision.isPlaced())
            return; // Refused.
        decision.placement.expires = m_now + Seconds(30);
        const PlacementKey key { .gateway = zone.name, .number = ++m_lastNumber };
        const UpstreamRecord &record = *m_directory.find(decision.upstream);
        zone.ledger.begin(key, decision.placement, m_now);
        if (&zoneOf(record) != &zone)
            zoneOf(record).ledger.begin(key, decision.placement, m_now);
        std::deque<TimePoint> &slots = m_slotsFreeAt[decision.upstream];
        TimePoint startsAt = m_now;
        if (slots.size() >= static_cast<std::size_t>(engine.maximumBatchSize))
            startsAt = std::max(m_now, slots[slots.size() - engine.maximumBatchSize]);
        slots.push_back(startsAt + streamDuration);
        m_ends.emplace(startsAt + streamDuration, Stream { key, record.id, &zone });
        const Duration firstEvent = startsAt - m_now + Milliseconds(150);
        zone.onTime += firstEvent <= objective ? 1 : 0;
    }

    void endStreams()
    {
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            const Stream stream = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            m_slotsFreeAt[stream.engine].pop_front();
            stream.zone->ledger.end(stream.key, m_now);
            zoneOf(*m_directory.find(stream.engine)).ledger.end(stream.key, m_now);
        }
    }

    struct Stream
    {
        PlacementKey key;
        std::string engine;
        Zone *zone { nullptr };
    };

    bool m_reportsSpareEngines;
    UpstreamDirectory m_directory;
    std::vector<Zone> m_zones;
    SeededRandom m_random { 5 };
    Placer m_placer { PlacerSettings {}, m_random };
    TimePoint m_now = start;
    std::uint64_t m_lastNumber { 0 };
    std::map<std::string, std::deque<TimePoint>> m_slotsFreeAt;
    std::multimap<TimePoint, Stream> m_ends;
};

struct Fixture
{
    std::deque<UpstreamRecord> records;
    std::vector<const UpstreamRecord *> engines;
    LoadLedger ledger;
    std::uint64_t lastNumber { 0 };

    Fixture()
    {
        for (int number = 0; number < 4; ++number) {
            records.push_back({ .id = "e" + std::to_string(number),
                                .service = "s",
                                .availabilityZone = "a",
                                .capacity = 4 });
            engines.push_back(&records.back());
        }
    }

    void open(const std::string &id, int requests, double prefillMs = 0)
    {
        for (int request = 0; request < requests; ++request)
            ledger.begin({ .gateway = "g", .number = ++lastNumber },
                         { .parts = { { .upstream = id, .prefillMs = prefillMs, .decodes = true } },
                           .expires = start + Seconds(10) },
                         start);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SpareEnginesTests, Fixture)

BOOST_AUTO_TEST_CASE(reportsTheEmptiestHalfOfThoseWithFreeSlots)
{
    using Ids = std::vector<std::string>;
    BOOST_CHECK((SpareEngines::choose(engines, ledger, start) == Ids { "e0", "e1" }));
    open("e0", 3);
    open("e1", 1);
    open("e2", 1, 500);
    BOOST_CHECK((SpareEngines::choose(engines, ledger, start) == Ids { "e3" }));
    open("e3", 4);
    open("e1", 2);
    BOOST_CHECK(SpareEngines::choose(engines, ledger, start).empty());
}

BOOST_AUTO_TEST_CASE(reportsExpireAndLeavingEnginesAreNotUsed)
{
    UpstreamDirectory directory;
    for (const UpstreamRecord &record : records)
        directory.put(record);
    SpareEngines spare;
    spare.record("a", { "e0", "e1", "gone" }, start);
    BOOST_CHECK_EQUAL(spare.usable(directory, "s", start).size(), 2);
    BOOST_CHECK(spare.usable(directory, "other", start).empty());
    UpstreamRecord leaving = records.front();
    leaving.state = UpstreamState::Leaving;
    directory.put(leaving);
    BOOST_CHECK_EQUAL(spare.usable(directory, "s", start).size(), 1);
    BOOST_CHECK(spare.usable(directory, "s", start + SpareEngines::maximumAge + Milliseconds(1))
                        .empty());
}

// Three zones with 120 slots each, streams of 2 s: 60 streams a second fill a zone's slots.
BOOST_AUTO_TEST_CASE(callersOfACrowdedZoneAreServedOnTimeByOthers)
{
    UnevenZones separate({ 68, 45, 45 }, false);
    separate.play(Seconds(20));
    UnevenZones sharing({ 68, 45, 45 }, true);
    sharing.play(Seconds(20));
    BOOST_TEST_MESSAGE("on time in the crowded zone: " << separate.zone(0).onTimeShare()
                                                       << ", with "
                                                       << sharing.zone(0).onTimeShare());
    BOOST_CHECK_LT(separate.zone(0).onTimeShare(), 0.5);
    // No zone falls under nine tenths of the best one.
    for (std::size_t zone = 0; zone < 3; ++zone)
        BOOST_CHECK_GE(sharing.zone(zone).onTimeShare(), 0.9);
}

BOOST_AUTO_TEST_SUITE_END()
