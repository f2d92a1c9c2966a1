#include "Services/Entry/CompletionRequest.h"
#include "Services/Entry/ServiceCalls.h"
#include "Services/Entry/TokenEstimator.h"
#include "lavenderpick/Base/Error.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

Document documentWith(const std::string &section, const nlohmann::json &entries, Document document)
{
    return document.apply({ .version = document.version() + 1,
                            .section = section,
                            .entries = entries.get<std::map<std::string, nlohmann::json>>() });
}

Document smallDocument()
{
    const Document models = documentWith(
            "models", { { "m", { { "versions", { "1" } }, { "maximum_prompt_tokens", 100 } } } },
            {});
    const auto priority = [](int rank, const char *deadline) {
        return nlohmann::json { { "rank", rank },
                                { "default_deadline", deadline },
                                { "shed_order", 1 },
                                { "objective", "short_slowdown" } };
    };
    return documentWith("priorities",
                        { { "batch", priority(5, "600 s") }, { "desk", priority(1, "20 s") } },
                        models);
}

CompletionOrder orderFor(const CompletionRequest &request, std::int64_t promptTokens = 10)
{
    return makeOrder(request, promptTokens, "r", "enna", smallDocument(), {}, TimePoint {});
}

} // namespace

// Guards against requests without a deadline, and deadlines beyond the cap.
BOOST_AUTO_TEST_CASE(every_order_has_a_bounded_deadline)
{
    const CompletionOrder usual = orderFor({ .model = "m", .prompt = "p" });
    BOOST_TEST(usual.priority == "desk");
    BOOST_TEST((usual.deadline == TimePoint {} + Seconds(20)));
    const CompletionOrder late =
            orderFor({ .model = "m", .prompt = "p", .deadlineMilliseconds = INT64_MAX });
    BOOST_TEST((late.deadline == TimePoint {} + EntryCaps {}.maximumDeadline));
}

// Guards against requests that no engine can serve and that are admitted nevertheless.
BOOST_AUTO_TEST_CASE(unknown_names_and_overlong_prompts_are_refused)
{
    const auto reasonFor = [](const CompletionRequest &request, std::int64_t tokens) {
        try {
            orderFor(request, tokens);
        } catch (const ProblemError &error) {
            return error.problem().reason;
        }
        return RefusalReason::NotReady;
    };
    BOOST_TEST((reasonFor({ .model = "x" }, 1) == RefusalReason::UnknownModel));
    BOOST_TEST((reasonFor({ .model = "m" }, 101) == RefusalReason::BodyTooLarge));
    BOOST_TEST((reasonFor({ .model = "m", .priority = "x" }, 1) == RefusalReason::BadRequest));
    BOOST_CHECK_THROW(CompletionRequest::parse({ { "model", "m" } }), Error);
    BOOST_CHECK_THROW(
            CompletionRequest::parse({ { "model", "m" }, { "prompt", "p" }, { "max_tokens", 0 } }),
            Error);
}

// Guards against two different calls that are taken for repeats of each other.
BOOST_AUTO_TEST_CASE(call_digests_keep_the_parts_apart)
{
    const ServiceCall left { .service = "a", .method = "POST", .path = "/bc", .body = "d" };
    ServiceCall right = left;
    BOOST_TEST(left.digest() == right.digest());
    right.path = "/b";
    right.body = "cd";
    BOOST_TEST(left.digest() != right.digest());
}

// Guards against estimates that never learn, or that one odd report distorts.
BOOST_AUTO_TEST_CASE(token_estimates_follow_the_usage_within_bounds)
{
    TokenEstimator estimator;
    BOOST_TEST(estimator.estimate("m", 4'000) == 1'001);
    for (int sample = 0; sample < 200; ++sample)
        estimator.observe("m", 4'000, 2'000);
    BOOST_TEST(std::abs(estimator.estimate("m", 4'000) - 2'001) < 20);
    estimator.observe("m", 4'000, 1'000'000'000);
    BOOST_TEST(estimator.estimate("m", 4'000) < 2'200);
    BOOST_TEST(estimator.expectedOutput("m", 10) == 10);
}
