#include "lavenderpick/Forward/UpstreamDirectory.h"
#include "lavenderpick/Forward/UpstreamNotices.h"

#include "lavenderpick/Base/Random.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };
constexpr std::int64_t born = 1'700'000'000'000;

bool isListed(const std::string &)
{
    return true;
}

bool isNotListed(const std::string &)
{
    return false;
}

UpstreamRecord upstream(const std::string &id, std::int64_t startedMs = born,
                        UpstreamState state = UpstreamState::Ready)
{
    return {
        .id = id, .service = "s", .address = "10.0.0.1:80", .state = state, .startedMs = startedMs
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamNoticesTests)

BOOST_AUTO_TEST_CASE(leavingEndsWithTheProcessOnly)
{
    UpstreamNotices notices;
    BOOST_CHECK(notices.recordLeaving("a", born, start));
    BOOST_CHECK(!notices.recordLeaving("a", born, start));
    BOOST_CHECK(notices.isLeaving("a", born));
    BOOST_CHECK(!notices.isLeaving("b", born));
    BOOST_CHECK(!notices.isLeaving("a", born + 1)); // Another process.
    for (int hour = 1; hour <= 100; ++hour)
        notices.expire(start + Seconds(3'600) * hour, isListed);
    BOOST_CHECK(notices.isLeaving("a", born));
}

// A late response of the former process says nothing about its successor.
BOOST_AUTO_TEST_CASE(noticesOfAFormerProcessAreIgnored)
{
    UpstreamNotices notices;
    notices.recordPause("a", born + 1, Seconds(5), start);
    BOOST_CHECK(!notices.recordLeaving("a", born, start));
    BOOST_CHECK(!notices.recordPause("a", born, Seconds(50), start));
    BOOST_CHECK(!notices.isLeaving("a", born + 1));
    BOOST_CHECK(notices.pausedUntil("a", born + 1) == start + Seconds(5));
}

BOOST_AUTO_TEST_CASE(pausesEndByThemselvesAndAreBounded)
{
    UpstreamNotices notices;
    BOOST_CHECK(notices.recordPause("a", born, Seconds(5), start));
    BOOST_CHECK(!notices.recordPause("a", born, Seconds(2), start + Seconds(1)));
    BOOST_CHECK(notices.pausedUntil("a", born) == start + Seconds(5));
    BOOST_CHECK(notices.expire(start + Milliseconds(4'999), isListed).empty());
    BOOST_CHECK_EQUAL(notices.expire(start + Seconds(5), isListed).size(), 1);
    BOOST_CHECK(!notices.pausedUntil("a", born));
    notices.recordPause("a", born, Seconds(1'000'000), start);
    BOOST_CHECK(notices.pausedUntil("a", born) == start + UpstreamNotices::longestPause);
}

BOOST_AUTO_TEST_CASE(upstreamsThatAreGoneAreForgotten)
{
    UpstreamNotices notices;
    notices.recordLeaving("a", born, start);
    notices.expire(start + Seconds(600), isNotListed);
    BOOST_CHECK(notices.isLeaving("a", born));
    notices.expire(start + Seconds(601), isNotListed);
    BOOST_CHECK(!notices.isLeaving("a", born));
}

BOOST_AUTO_TEST_CASE(anUpstreamThatLeavesIsNotReadyWhateverItsEntrySays)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.put(upstream("b"));
    BOOST_CHECK(directory.recordLeaving("a", born, start));
    BOOST_CHECK(!directory.isReady("a"));
    BOOST_REQUIRE_EQUAL(directory.ready("s").size(), 1);
    // Its entry changes, expires and returns, or is listed anew.
    UpstreamRecord changed = upstream("a");
    changed.capacity = 9;
    directory.put(changed);
    BOOST_CHECK(!directory.isReady("a"));
    directory.remove("a", start);
    directory.put(upstream("a"));
    directory.replaceAll({ upstream("a"), upstream("b") }, start);
    BOOST_CHECK(!directory.isReady("a"));
    // Its successor is another process.
    directory.put(upstream("a", born + 1));
    BOOST_CHECK(directory.isReady("a"));
    BOOST_CHECK_EQUAL(directory.ready("s").size(), 2);
}

BOOST_AUTO_TEST_CASE(aPausedUpstreamIsReadyAgainAfterThePause)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.put(upstream("b"));
    BOOST_CHECK(!directory.earliestReturn("s"));
    directory.recordPause("a", born, Seconds(3), start);
    BOOST_CHECK_EQUAL(directory.ready("s").size(), 1);
    directory.recordPause("b", born, Seconds(5), start);
    BOOST_CHECK(directory.ready("s").empty());
    BOOST_CHECK(directory.earliestReturn("s") == start + Seconds(3));
    BOOST_CHECK(!directory.earliestReturn("t"));
    const TimePoint end = start + Seconds(3);
    BOOST_CHECK(directory.expire(end - Milliseconds(1), end).returned.empty());
    BOOST_CHECK(directory.expire(end, end).returned == std::vector<std::string> { "a" });
    BOOST_CHECK(directory.isReady("a"));
    BOOST_CHECK(!directory.isReady("b"));
}

// The end of its pause doesn't bring an upstream back that can't serve for another reason.
BOOST_AUTO_TEST_CASE(aPausedUpstreamThatLeavesDoesNotReturn)
{
    UpstreamDirectory directory;
    directory.put(upstream("a"));
    directory.put(upstream("b", born, UpstreamState::Leaving));
    directory.recordPause("a", born, Seconds(3), start);
    directory.recordPause("b", born, Seconds(3), start);
    directory.recordLeaving("a", born, start);
    BOOST_CHECK(!directory.earliestReturn("s"));
    directory.expire(start + Seconds(3), start + Seconds(3));
    BOOST_CHECK(directory.ready("s").empty());
}

// Plays random entries, notices and times against what the rules say of each moment.
BOOST_AUTO_TEST_CASE(randomNoticesForbidWhatTheRulesForbidAndNothingElse)
{
    struct Expected
    {
        std::optional<UpstreamRecord> listed;
        std::map<std::int64_t, TimePoint> pauses; ///< By process.
        std::set<std::int64_t> leaving;
        std::int64_t latestNotice { 0 };
    };
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SeededRandom random(seed);
        UpstreamDirectory directory;
        std::map<std::string, Expected> expected;
        TimePoint now = start;
        for (int step = 0; step < 300; ++step) {
            const std::string id = std::string(1, static_cast<char>('a' + random.below(3)));
            Expected &upstreamExpected = expected[id];
            const auto process = static_cast<std::int64_t>(1 + random.below(3));
            const bool isLate = process < upstreamExpected.latestNotice;
            switch (random.below(5)) {
            case 0:
                upstreamExpected.listed = upstream(id, process,
                                                   random.below(4) == 0 ? UpstreamState::Leaving
                                                                        : UpstreamState::Ready);
                directory.put(*upstreamExpected.listed);
                break;
            case 1:
                upstreamExpected.listed.reset();
                directory.remove(id, now);
                break;
            case 2:
                directory.recordLeaving(id, process, now);
                if (!isLate)
                    upstreamExpected.leaving.insert(process);
                break;
            case 3: {
                const Duration pause = Milliseconds(1 + random.below(4'000));
                directory.recordPause(id, process, pause, now);
                TimePoint &until = upstreamExpected.pauses[process];
                if (!isLate)
                    until = std::max(until, now + pause);
                break;
            }
            default:
                now += Milliseconds(random.below(1'500));
                directory.expire(now, now);
            }
            if (!isLate && upstreamExpected.leaving.contains(process))
                upstreamExpected.latestNotice = process;
            if (!isLate && upstreamExpected.pauses[process] > now)
                upstreamExpected.latestNotice = process;
            for (const auto &[otherId, other] : expected) {
                const bool mayServe = other.listed && other.listed->state == UpstreamState::Ready
                        && !other.leaving.contains(other.listed->startedMs)
                        && (!other.pauses.contains(other.listed->startedMs)
                            || other.pauses.at(other.listed->startedMs) <= now);
                // A former process may be listed again only by a mistake; its notice is forgotten.
                if (other.listed && other.listed->startedMs < other.latestNotice)
                    continue;
                BOOST_REQUIRE_EQUAL(directory.isReady(otherId), mayServe);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
