#include "lavenderpick/Forward/CrashEvidence.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

TimePoint at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

struct EvidenceFixture : CrashEvidence
{
    EvidenceFixture()
    {
        for (int index = 0; index < 10; ++index)
            recordCompleted({ "other" }, at(-1'000), at(-900));
    }

    void crash(int milliseconds, const std::vector<std::vector<std::string>> &prompts)
    {
        const std::string upstream = "u" + std::to_string(milliseconds);
        for (const std::vector<std::string> &prompt : prompts)
            recordBroken({ .upstream = upstream, .promptParts = prompt }, at(milliseconds));
    }

    std::vector<std::string> suspected(int milliseconds) const
    {
        const auto suspicion = suspect(at(milliseconds));
        return suspicion ? suspicion->parts : std::vector<std::string> {};
    }
};

using Parts = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashEvidenceTests, EvidenceFixture)

BOOST_AUTO_TEST_CASE(partOpenAtEachOfThreeCrashesIsSuspected)
{
    crash(0, { { "shared", "bad" }, { "x" } });
    crash(400, { { "bad" }, { "y" } });
    BOOST_CHECK(suspected(600).empty());
    crash(800, { { "shared", "bad" }, { "z" }, { "shared" } });
    BOOST_CHECK((suspected(1'000) == Parts { "bad" }));
}

BOOST_AUTO_TEST_CASE(partOfSoundPromptsIsNotSuspectedBesideTheHarmfulOne)
{
    // "shared" is open at each crash too, in more prompts, and is completed between them.
    for (int index = 0; index < 3; ++index) {
        crash(index * 400, { { "shared", "bad" }, { "shared" } });
        recordCompleted({ "shared" }, at(index * 400 + 10), at(index * 400 + 200));
    }
    BOOST_CHECK((suspected(1'000) == Parts { "bad" }));
}

// Guards against a new harmful part that is not blamed, since a part that was completed before the
// crashes was open at each of them too.
BOOST_AUTO_TEST_CASE(partThatWasSoundBeforeDoesNotHideANewOne)
{
    recordCompleted({ "before" }, at(-500), at(-200));
    for (int index = 0; index < 3; ++index)
        crash(index * 400, { { "bad" }, { "before" } });
    BOOST_CHECK((suspected(1'000) == Parts { "bad" }));
}

BOOST_AUTO_TEST_CASE(partsThatNeverOccurredApartAreSuspectedTogether)
{
    for (int index = 0; index < 3; ++index)
        crash(index * 400, { { "bad", "first" } });
    BOOST_CHECK((suspected(1'000) == Parts { "bad", "first" }));
    recordCompleted({ "first" }, at(900), at(1'000));
    BOOST_CHECK((suspected(1'000) == Parts { "bad" }));
}

BOOST_AUTO_TEST_CASE(nothingIsSuspectedBeforeTheReportsOfACrashHaveArrived)
{
    for (int index = 0; index < 3; ++index)
        crash(index * 400, { { "unlucky" } });
    BOOST_CHECK(suspected(999).empty());
    recordBroken({ .upstream = "u0", .promptParts = { "bad" } }, at(900));
    recordBroken({ .upstream = "u400", .promptParts = { "bad" } }, at(900));
    recordBroken({ .upstream = "u800", .promptParts = { "bad" } }, at(900));
    // Both were open at each crash.
    BOOST_CHECK(suspected(1'000).empty());
    crash(1'200, { { "bad" } });
    BOOST_CHECK((suspected(1'400) == Parts { "bad" }));
}

BOOST_AUTO_TEST_CASE(crashesAtTheSameMomentProveNothing)
{
    // For example, the network resets the connections to all upstreams.
    for (int upstream = 0; upstream < 20; ++upstream)
        crash(upstream, { { "a" }, { "b" } });
    BOOST_CHECK(suspected(100).empty());
}

BOOST_AUTO_TEST_CASE(partsOfUnrelatedCrashesAreNotSuspected)
{
    // Upstreams crash one after the other, each with other prompts.
    for (int index = 0; index < 20; ++index)
        crash(index * 300,
              { { "p" + std::to_string(index % 7) }, { "q" + std::to_string(index) } });
    BOOST_CHECK(suspected(6'000).empty());
}

BOOST_AUTO_TEST_CASE(nothingIsSuspectedWhileNothingIsCompleted)
{
    for (int index = 0; index < 10; ++index)
        crash(60'000 + index * 300, { { "everywhere" } });
    expire(at(63'000));
    BOOST_CHECK(suspected(63'000).empty());
}

BOOST_AUTO_TEST_CASE(partThatWasSoundIsSuspectedOnlyAfterMoreCrashes)
{
    recordCompleted({ "part" }, at(-500), at(-100));
    for (int index = 0; index < 5; ++index)
        crash(index * 400, { { "part" } });
    BOOST_CHECK(suspected(2'000).empty());
    crash(2'600, { { "part" } });
    BOOST_CHECK((suspected(2'800) == Parts { "part" }));
    BOOST_CHECK(soundSince("part") == at(-500));
}

BOOST_AUTO_TEST_CASE(laterCompletionRefutesEarlierCrashes)
{
    for (int index = 0; index < 3; ++index)
        crash(index * 400, { { "part" } });
    recordCompleted({ "part" }, at(900), at(1'000));
    BOOST_CHECK(suspected(1'000).empty());
}

BOOST_AUTO_TEST_CASE(explainedCrashesCountAgainstNoOtherPart)
{
    for (int index = 0; index < 4; ++index)
        crash(index * 400, { { "bad" }, { "unlucky" } });
    crash(1'600, { { "bad" }, { "x" } });
    BOOST_CHECK((suspected(1'800) == Parts { "bad" }));
    explain({ "bad" });
    // Also what breaks later in a crash that is explained already.
    recordBroken({ .upstream = "u1600", .promptParts = { "unlucky" } }, at(1'700));
    BOOST_CHECK(suspected(1'900).empty());
}

BOOST_AUTO_TEST_SUITE_END()
