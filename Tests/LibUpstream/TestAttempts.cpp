#include "lavenderpick/Upstream/AttemptBuffer.h"
#include "lavenderpick/Upstream/AttemptTable.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

} // namespace

BOOST_AUTO_TEST_SUITE(AttemptTests)

// Guards against a resumed engine stream whose repeated tokens appear twice in the answer.
BOOST_AUTO_TEST_CASE(repeated_offsets_are_dropped)
{
    AttemptBuffer buffer("a", "xy", 2);
    BOOST_TEST(buffer.addToken(2, "z"));
    BOOST_TEST(!buffer.addToken(2, "z"));
    BOOST_TEST(!buffer.addToken(4, "w"));
    BOOST_TEST(buffer.addToken(3, "w"));
    BOOST_TEST(buffer.end(4, sha256("xyzw"), "length", {}));
    const auto events = buffer.eventsFrom(3, 10);
    BOOST_TEST(events.size() == 2);
    BOOST_TEST(events[0].text == "w");
    BOOST_TEST((events[1].type == AttemptEventType::End));
    BOOST_TEST(buffer.eventsFrom(0, 1).size() == 1);
}

// Guards against an answer with a missing or foreign token that is delivered as complete.
BOOST_AUTO_TEST_CASE(wrong_digest_fails_the_attempt)
{
    AttemptBuffer buffer("a", "", 0);
    buffer.addToken(0, "z");
    BOOST_TEST(!buffer.end(1, sha256("y"), "stop", {}));
    BOOST_TEST((buffer.lastEvent()->type == AttemptEventType::Failed));
    BOOST_TEST(!buffer.addToken(1, "z"));
}

// Guards against an attempt that goes on for a caller who left, and one that is cancelled while
// its reader changes connections.
BOOST_AUTO_TEST_CASE(abandoned_attempts_expire)
{
    AttemptTable table({});
    BOOST_TEST((table.add("a", start + Seconds(600), start) == AttemptTable::AddResult::Added));
    BOOST_TEST((table.add("a", start, start) == AttemptTable::AddResult::Duplicate));
    table.readerConnected("a");
    BOOST_TEST(table.expired(start + Seconds(100)).empty());
    table.readerConnected("a");
    table.readerLeft("a", start + Seconds(100));
    BOOST_TEST(table.expired(start + Seconds(200)).empty());
    table.readerLeft("a", start + Seconds(200));
    BOOST_TEST(table.expired(start + Seconds(209)).empty());
    BOOST_TEST((table.expired(start + Seconds(210))
                == std::vector<AttemptTable::Expired> { { "a", AttemptExpiry::Abandoned } }));
    table.ended("a", start + Seconds(210));
    BOOST_TEST(table.removeOld(start + Seconds(239)).empty());
    BOOST_TEST(table.removeOld(start + Seconds(240)).size() == 1);
}

// Guards against a shutdown between the last event of an attempt and the entry that comes back for
// it on a new connection.
BOOST_AUTO_TEST_CASE(undelivered_attempts_are_open)
{
    AttemptTable table({});
    table.add("a", start + Seconds(600), start);
    table.readerConnected("a");
    table.ended("a", start + Seconds(1));
    table.readerLeft("a", start + Seconds(1));
    BOOST_TEST(table.openCount(start + Seconds(2)) == 1);
    table.readerConnected("a");
    table.delivered("a");
    BOOST_TEST(table.openCount(start + Seconds(2)) == 1);
    table.readerLeft("a", start + Seconds(2));
    BOOST_TEST(table.openCount(start + Seconds(2)) == 0);

    table.add("b", start + Seconds(600), start + Seconds(2));
    table.ended("b", start + Seconds(3));
    BOOST_TEST(table.openCount(start + Seconds(12)) == 1);
    BOOST_TEST(table.openCount(start + Seconds(13)) == 0);
}

// Guards against an attempt that runs past its deadline while somebody reads it.
BOOST_AUTO_TEST_CASE(deadline_ends_a_read_attempt)
{
    AttemptTable table({ .maximumAttempts = 1 });
    table.add("a", start + Seconds(5), start);
    table.readerConnected("a");
    BOOST_TEST((table.add("b", start, start) == AttemptTable::AddResult::Full));
    BOOST_TEST((table.expired(start + Seconds(5))[0].expiry == AttemptExpiry::DeadlinePassed));
}

BOOST_AUTO_TEST_SUITE_END()
