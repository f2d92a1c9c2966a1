#include "lavenderpick/Forward/ZoneLocality.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace Lavenderpick;

namespace {

/// The engines of the zones "0", "1" and so on, with the given number in each.
class Engines
{
public:
    explicit Engines(const std::vector<std::size_t> &counts)
    {
        for (std::size_t zone = 0; zone < counts.size(); ++zone) {
            for (std::size_t engine = 0; engine < counts[zone]; ++engine)
                m_records.push_back({ .availabilityZone = std::to_string(zone) });
        }
        for (const UpstreamRecord &record : m_records)
            m_pointers.push_back(&record);
    }

    const std::vector<const UpstreamRecord *> &all() const { return m_pointers; }

private:
    std::deque<UpstreamRecord> m_records;
    std::vector<const UpstreamRecord *> m_pointers;
};

bool isLocal(ZoneLocality &locality, const std::vector<std::size_t> &counts)
{
    locality.update(Engines(counts).all());
    return locality.isLocal();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneLocalityTests)

BOOST_AUTO_TEST_CASE(zonesWithEnoughEnginesAreLocal)
{
    ZoneLocality locality("0");
    BOOST_CHECK(!isLocal(locality, {}));
    BOOST_CHECK(!isLocal(locality, { 20, 20 }));
    BOOST_CHECK(!isLocal(locality, { 40, 40, 10 }));
    BOOST_CHECK(isLocal(locality, { 36, 36, 36 }));
}

BOOST_AUTO_TEST_CASE(restartsOfAFewEnginesDoNotChangeTheDecision)
{
    ZoneLocality locality("0");
    BOOST_REQUIRE(isLocal(locality, { 33, 33, 33 }));
    BOOST_CHECK(isLocal(locality, { 21, 33, 33 }));
    BOOST_CHECK(!isLocal(locality, { 19, 33, 33 }));
    BOOST_CHECK(!isLocal(locality, { 25, 33, 33 }));
}

BOOST_AUTO_TEST_CASE(aZoneWithoutEnginesUsesThoseOfOthers)
{
    ZoneLocality locality("z");
    BOOST_CHECK(!isLocal(locality, { 36, 36, 36 }));
}

BOOST_AUTO_TEST_SUITE_END()
