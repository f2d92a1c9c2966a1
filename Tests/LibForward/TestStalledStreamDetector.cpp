#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Forward/StalledStreamDetector.h"

#include <boost/test/unit_test.hpp>

namespace Lavenderpick {

namespace {

const TimePoint start { Seconds(1'000) };
constexpr Duration passDuration { Milliseconds(150) };

} // namespace

BOOST_AUTO_TEST_SUITE(StalledStreamDetectorTests)

BOOST_AUTO_TEST_CASE(overtakenStreamsAreStalled)
{
    StalledStreamDetector detector;
    detector.recordSent("u", 1, true, start);
    detector.recordSent("u", 2, true, start + Milliseconds(60));
    detector.recordEvent("u", 2, start + Milliseconds(200));
    BOOST_CHECK(!detector.isStalled("u", 1, start + Milliseconds(599)));
    BOOST_CHECK(detector.isStalled("u", 1, start + Milliseconds(600)));
    BOOST_CHECK(!detector.isStalled("u", 2, start + Milliseconds(600)));
    BOOST_CHECK(!detector.isStalled("other", 1, start + Milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(silenceOfAllStreamsIsNoStall)
{
    StalledStreamDetector detector;
    detector.recordSent("u", 1, true, start);
    detector.recordSent("u", 2, true, start);
    detector.recordEvent("u", 2, start + Milliseconds(100));
    // Sent at the same time, so that either may be first; then the engine prefills for a long time.
    BOOST_CHECK(!detector.isStalled("u", 1, start + Seconds(9)));
    BOOST_CHECK(!detector.isStalled("u", 2, start + Seconds(9)));
}

BOOST_AUTO_TEST_CASE(splitPromptsMayBeOvertaken)
{
    StalledStreamDetector detector;
    detector.recordSent("u", 1, false, start);
    detector.recordSent("u", 2, true, start + Seconds(1));
    detector.recordEvent("u", 2, start + Seconds(2));
    BOOST_CHECK(!detector.isStalled("u", 1, start + Seconds(9)));
}

BOOST_AUTO_TEST_CASE(streamsMissingFromPassesAreStalled)
{
    StalledStreamDetector detector;
    detector.recordSent("u", 1, true, start);
    detector.recordSent("u", 2, true, start);
    TimePoint now = start + passDuration;
    detector.recordEvent("u", 1, now);
    detector.recordEvent("u", 2, now);
    const TimePoint lastEvent = now;
    while (now - lastEvent < StalledStreamDetector::minimumSilence) {
        BOOST_CHECK(!detector.isStalled("u", 1, now));
        now += passDuration;
        detector.recordEvent("u", 2, now);
    }
    BOOST_CHECK(detector.isStalled("u", 1, now));
    detector.recordEnd("u", 1);
    BOOST_CHECK(!detector.isStalled("u", 1, now));
}

// An engine that hangs on a fifth of its requests: each of them is detected within a second of the
// next request's first event, and no request that the engine serves counts as stalled.
BOOST_AUTO_TEST_CASE(hungRequestsAreDetectedWithoutFalsePositives)
{
    SeededRandom random(1);
    StalledStreamDetector detector;
    struct Request
    {
        TimePoint sentAt;
        bool hangs;
        int events { 0 };
    };
    std::map<std::uint64_t, Request> open;
    std::uint64_t last = 0;
    int detected = 0;
    TimePoint now = start;
    for (int step = 0; step < 2'000; ++step, now += passDuration) {
        if (step % 2 == 0) {
            const bool hangs = random.unit() < 0.2;
            open[++last] = { .sentAt = now, .hangs = hangs };
            detector.recordSent("u", last, true, now);
        }
        for (auto entry = open.begin(); entry != open.end();) {
            auto &[id, request] = *entry;
            const bool isStalled = detector.isStalled("u", id, now);
            if (isStalled) {
                BOOST_CHECK(request.hangs);
                // The next request may hang too; six in a row have odds of one in 15,000.
                BOOST_CHECK(now - request.sentAt <= 6 * 2 * passDuration + Seconds(1));
                ++detected;
            } else if (!request.hangs && request.sentAt < now) {
                detector.recordEvent("u", id, now + Milliseconds(random.below(10)));
                ++request.events;
            }
            if (isStalled || request.events == 8) {
                detector.recordEnd("u", id);
                entry = open.erase(entry);
            } else {
                ++entry;
            }
        }
    }
    BOOST_CHECK_GT(detected, 150);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Lavenderpick
