#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Forward/StreamProgress.h"

#include <boost/test/unit_test.hpp>

namespace Lavenderpick {

namespace {

const TimePoint start { Seconds(1'000) };
constexpr Duration pass { Milliseconds(150) };

} // namespace

BOOST_AUTO_TEST_SUITE(StreamProgressTests)

BOOST_AUTO_TEST_CASE(anOvertakenPromptIsLost)
{
    StreamProgress progress;
    progress.sent("u", 1, true, start);
    progress.sent("u", 2, true, start + Milliseconds(60));
    progress.eventArrived("u", 2, start + Milliseconds(200));
    BOOST_CHECK(!progress.isLost("u", 1, start + Milliseconds(599)));
    BOOST_CHECK(progress.isLost("u", 1, start + Milliseconds(600)));
    BOOST_CHECK(!progress.isLost("u", 2, start + Milliseconds(600)));
    BOOST_CHECK(!progress.isLost("other", 1, start + Milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(silenceOfAWholeEngineProvesNothing)
{
    StreamProgress progress;
    progress.sent("u", 1, true, start);
    progress.sent("u", 2, true, start);
    progress.eventArrived("u", 2, start + Milliseconds(100));
    // Sent at the same time, so that either may come first; then the engine reads for long.
    BOOST_CHECK(!progress.isLost("u", 1, start + Seconds(9)));
    BOOST_CHECK(!progress.isLost("u", 2, start + Seconds(9)));
}

BOOST_AUTO_TEST_CASE(promptsThatHelpersReadMayBeOvertaken)
{
    StreamProgress progress;
    progress.sent("u", 1, false, start);
    progress.sent("u", 2, true, start + Seconds(1));
    progress.eventArrived("u", 2, start + Seconds(2));
    BOOST_CHECK(!progress.isLost("u", 1, start + Seconds(9)));
}

BOOST_AUTO_TEST_CASE(aStreamThatPassesLeaveOutIsLost)
{
    StreamProgress progress;
    progress.sent("u", 1, true, start);
    progress.sent("u", 2, true, start);
    TimePoint now = start + pass;
    progress.eventArrived("u", 1, now);
    progress.eventArrived("u", 2, now);
    const TimePoint lastEvent = now;
    while (now - lastEvent < StreamProgress::leastSilence) {
        BOOST_CHECK(!progress.isLost("u", 1, now));
        now += pass;
        progress.eventArrived("u", 2, now);
    }
    BOOST_CHECK(progress.isLost("u", 1, now));
    progress.ended("u", 1);
    BOOST_CHECK(!progress.isLost("u", 1, now));
}

// An engine that hangs on a fifth of its requests: each is found within a second of the next
// request's first event, and none that the engine serves is taken for lost.
BOOST_AUTO_TEST_CASE(hungRequestsAreFoundAndHealthyOnesAreLeftAlone)
{
    SeededRandom random(1);
    StreamProgress progress;
    struct Request
    {
        TimePoint sentAt;
        bool hangs;
        int events { 0 };
    };
    std::map<std::uint64_t, Request> open;
    std::uint64_t last = 0;
    int found = 0;
    TimePoint now = start;
    for (int step = 0; step < 2'000; ++step, now += pass) {
        if (step % 2 == 0) {
            const bool hangs = random.unit() < 0.2;
            open[++last] = { .sentAt = now, .hangs = hangs };
            progress.sent("u", last, true, now);
        }
        for (auto entry = open.begin(); entry != open.end();) {
            auto &[id, request] = *entry;
            const bool isLost = progress.isLost("u", id, now);
            if (isLost) {
                BOOST_CHECK(request.hangs);
                // The next request may hang as well; six in a row are one in 15,000.
                BOOST_CHECK(now - request.sentAt <= 6 * 2 * pass + Seconds(1));
                ++found;
            } else if (!request.hangs && request.sentAt < now) {
                progress.eventArrived("u", id, now + Milliseconds(random.below(10)));
                ++request.events;
            }
            if (isLost || request.events == 8) {
                progress.ended("u", id);
                entry = open.erase(entry);
            } else {
                ++entry;
            }
        }
    }
    BOOST_CHECK_GT(found, 150);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Lavenderpick
