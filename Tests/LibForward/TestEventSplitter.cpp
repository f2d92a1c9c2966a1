#include "lavenderpick/Forward/EventSplitter.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

BOOST_AUTO_TEST_SUITE(EventSplitterTests)

BOOST_AUTO_TEST_CASE(onlyCompleteEventsAreReturned)
{
    EventSplitter events;
    BOOST_CHECK_EQUAL(events.feed("id: 1\ndata: a"), "");
    BOOST_CHECK_EQUAL(events.feed("\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    BOOST_CHECK_EQUAL(events.lastEventId(), "1");
    BOOST_CHECK_EQUAL(events.discardPartial(), 8);
    BOOST_CHECK_EQUAL(events.feed("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    BOOST_CHECK_EQUAL(events.lastEventId(), "2");
    BOOST_CHECK_EQUAL(events.eventCount(), 2);
}

BOOST_AUTO_TEST_CASE(extraBlankLinesBelongToThePreviousEvent)
{
    EventSplitter pieces;
    std::string joined;
    const std::string bytes = "id:1\r\n\r\n\n\r\nid";
    for (const char byte : bytes)
        joined += pieces.feed({ &byte, 1 });
    EventSplitter whole;
    BOOST_CHECK_EQUAL(whole.feed(bytes), joined);
    BOOST_CHECK_EQUAL(pieces.partialBytes(), 2);
}

BOOST_AUTO_TEST_CASE(linesMayEndWithCarriageReturnAndLineFeed)
{
    EventSplitter events;
    BOOST_CHECK_EQUAL(events.feed("id:7\r\ndata: a\r\n\r\nid:8"), "id:7\r\ndata: a\r\n\r\n");
    BOOST_CHECK_EQUAL(events.lastEventId(), "7");
}

// Guards against a resumed stream that repeats events which came after the last id.
BOOST_AUTO_TEST_CASE(eventsWithoutIdsAreNotedForResuming)
{
    EventSplitter events;
    BOOST_CHECK(events.endsWithId());
    events.feed(": comment\n\n");
    BOOST_CHECK(events.endsWithId());
    events.feed("data: a\n\n");
    BOOST_CHECK(!events.endsWithId());
    events.feed("id: 1\ndata: b\n\n: comment\n\ndata: partial");
    BOOST_CHECK(events.endsWithId());
}

BOOST_AUTO_TEST_SUITE_END()
