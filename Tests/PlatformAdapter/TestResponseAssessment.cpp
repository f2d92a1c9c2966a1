#include "lavenderpick/Forward/ResponseAssessment.h"
#include "platform/PlatformDialect.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

struct Fixture
{
    static ResponseHead response(int status, bool saysNotExecuted, bool hasId = true)
    {
        ResponseHead head { .status = status };
        head.headers.add("X-Server-Seal", "seal");
        if (hasId)
            head.headers.add("X-Attempt-Id", "r1");
        if (saysNotExecuted)
            head.headers.add("X-Not-Executed", "1");
        return head;
    }

    ResponseVerdict verdict(const ResponseHead &head, const ResponseContext &context = {}) const
    {
        return ResponseAssessment::of(head, context, dialect).verdict;
    }

    Platform::PlatformDialect dialect;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ResponseAssessmentTests, Fixture)

// Guards against statuses that callers take as "not run" where the upstream has shown no such
// thing.
BOOST_AUTO_TEST_CASE(onlyProofsAreTakenAsNotRun)
{
    for (int status = 200; status <= 599; ++status) {
        const bool isSuccess = status < 300;
        ResponseVerdict unproven = isSuccess ? ResponseVerdict::Success : ResponseVerdict::Failure;
        if (promisesNotRun(status))
            unproven = ResponseVerdict::Unusable;
        ResponseVerdict proven = isSuccess ? ResponseVerdict::Unusable : ResponseVerdict::NotRun;
        if (status == 421)
            unproven = proven = ResponseVerdict::Misdirected;
        BOOST_CHECK_MESSAGE(verdict(response(status, false)) == unproven, status);
        BOOST_CHECK_MESSAGE(verdict(response(status, true)) == proven, status);
    }
    for (const int status : { 408, 421, 429, 503 })
        BOOST_CHECK(promisesNotRun(status));
}

// Guards against a response that belongs to two requests, or whose caller would not get its id.
BOOST_AUTO_TEST_CASE(responsesWithAnAmbiguousIdProveNothing)
{
    ResponseHead twice = response(200, false);
    twice.headers.add("x-attempt-id", "r2");
    ResponseHead hidden = response(200, false);
    hidden.headers.add("Connection", "close, X-Attempt-Id");
    ResponseHead unsigned_ = response(503, true);
    unsigned_.headers.add("Connection", "X-Server-Seal");
    for (const ResponseHead &head : { twice, hidden, unsigned_ })
        BOOST_CHECK(verdict(head) == ResponseVerdict::Unattributed);
}

// Guards against a late copy of an earlier refusal that counts as that of the request.
BOOST_AUTO_TEST_CASE(responsesWithoutAnIdOnAReusedConnectionProveNothing)
{
    for (int status = 200; status <= 599; ++status) {
        for (const bool saysNotExecuted : { false, true })
            BOOST_CHECK(
                    verdict(response(status, saysNotExecuted, false), { .connectionReused = true })
                    == ResponseVerdict::Unattributed);
    }
}

BOOST_AUTO_TEST_CASE(successNeedsIdAndSignature)
{
    BOOST_CHECK(verdict(response(200, false, false)) == ResponseVerdict::Unusable);
    ResponseHead unsealed = response(200, false);
    unsealed.headers.removeAll("X-Server-Seal");
    BOOST_CHECK(verdict(unsealed) == ResponseVerdict::Unusable);
}

BOOST_AUTO_TEST_SUITE_END()
