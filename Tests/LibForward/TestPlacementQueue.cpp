#include "lavenderpick/Forward/PlacementQueue.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementQueueTests)

BOOST_AUTO_TEST_CASE(requestsAreOrderedByLatestStart)
{
    PlacementQueue queue;
    queue.add(1, start + Seconds(3));
    queue.add(2, start + Seconds(1));
    queue.add(3, start + Seconds(2));
    BOOST_CHECK((queue.inOrder() == std::vector<std::uint64_t> { 2, 3, 1 }));
    queue.remove(2);
    BOOST_CHECK((queue.inOrder() == std::vector<std::uint64_t> { 3, 1 }));
    BOOST_CHECK_EQUAL(queue.size(), 2);
}

BOOST_AUTO_TEST_SUITE_END()
