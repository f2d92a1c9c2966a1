#include "lavenderpick/Forward/AttemptHistory.h"

#include <boost/test/unit_test.hpp>

namespace Lavenderpick {

namespace {

Route route(RouteKind kind, bool resumable = false, int maximumUpstreams = 2)
{
    return { .kind = kind, .resumable = resumable, .maximumUpstreams = maximumUpstreams };
}

} // namespace

BOOST_AUTO_TEST_SUITE(AttemptHistoryTests)

BOOST_AUTO_TEST_CASE(nonIdempotentRequestsAreRetriedOnlyAfterProofOfNoRun)
{
    for (const Route &nonIdempotent : { route(RouteKind::Unsafe), route(RouteKind::Streaming) }) {
        AttemptHistory history;
        for (const AttemptOutcome outcome :
             { AttemptOutcome::NotSent, AttemptOutcome::NotRun, AttemptOutcome::Misdirected }) {
            history.record("u", outcome);
            BOOST_CHECK(history.mayRetry(nonIdempotent, outcome, false));
            BOOST_CHECK(history.hasNotRun());
        }
        history.record("v", AttemptOutcome::Failed);
        BOOST_CHECK(!history.hasNotRun());
        BOOST_CHECK(!history.mayRetry(nonIdempotent, AttemptOutcome::Failed, false));
        // The proof for a later attempt does not cover the earlier attempt.
        BOOST_CHECK(!history.mayRetry(nonIdempotent, AttemptOutcome::NotRun, false));
    }
}

BOOST_AUTO_TEST_CASE(routeLimitsHowManyUpstreamsMayRunARequest)
{
    AttemptHistory history;
    const Route safe = route(RouteKind::Safe);
    BOOST_CHECK(history.mayRetryOpenAttempt(safe, false));
    history.record("a", AttemptOutcome::Failed);
    BOOST_CHECK(history.mayRetry(safe, AttemptOutcome::Failed, false));
    BOOST_CHECK(!history.mayRetryOpenAttempt(safe, false));
    history.record("b", AttemptOutcome::Failed);
    BOOST_CHECK(!history.mayRetry(safe, AttemptOutcome::Failed, false));
    BOOST_CHECK_EQUAL(history.failedUpstreams().size(), 2);
}

BOOST_AUTO_TEST_CASE(onlyResumableStreamsAreRetriedAfterTheResponseHasBegun)
{
    AttemptHistory history;
    history.record("a", AttemptOutcome::Failed);
    BOOST_CHECK(!history.mayRetry(route(RouteKind::Safe), AttemptOutcome::Failed, true));
    BOOST_CHECK(!history.mayRetry(route(RouteKind::Streaming), AttemptOutcome::Failed, true));
    BOOST_CHECK(history.mayRetry(route(RouteKind::Streaming, true), AttemptOutcome::Failed, true));
}

BOOST_AUTO_TEST_CASE(sendsAndConnectFailuresAreLimited)
{
    const Route safe = route(RouteKind::Safe, false, 9);
    AttemptHistory refused;
    for (int send = 1; send <= AttemptHistory::maximumSends; ++send) {
        refused.record("u", AttemptOutcome::NotRun);
        BOOST_CHECK_EQUAL(refused.mayRetry(safe, AttemptOutcome::NotRun, false),
                          send < AttemptHistory::maximumSends);
    }
    AttemptHistory unreachable;
    for (int failure = 1; failure <= AttemptHistory::maximumConnectFailures; ++failure) {
        unreachable.record("u", AttemptOutcome::NotSent);
        BOOST_CHECK_EQUAL(unreachable.mayRetry(safe, AttemptOutcome::NotSent, false),
                          failure < AttemptHistory::maximumConnectFailures);
    }
    BOOST_CHECK_EQUAL(unreachable.sends(), 0);
    BOOST_CHECK(unreachable.hasNotRun());
}

BOOST_AUTO_TEST_CASE(anAbandonedAttemptMayHaveRun)
{
    AttemptHistory history;
    history.recordAbandoned();
    BOOST_CHECK(!history.hasNotRun());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Lavenderpick
