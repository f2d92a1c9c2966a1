#include "FakeAgent.h"
#include "Services/Entry/CompletionRelay.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

class FakeSelector final : public UpstreamSelector
{
public:
    SelectedUpstream select(const SelectionRequest &request) override
    {
        for (const auto &[name, address] : agents) {
            if (std::find(request.tried.begin(), request.tried.end(), name) == request.tried.end())
                return { .decision = { .upstream = name }, .address = address };
        }
        return {};
    }
    void onSent(const std::string &, const SelectedUpstream &, const SelectionRequest &) override {
    }
    void onFirstToken(const std::string &) override { }
    void onFinished(const std::string &, const AttemptResult &result) override
    {
        failures += result.failed ? 1 : 0;
    }
    bool mayRetry(RetryReason) override { return retriesAllowed; }
    void onSuccess() override { }

    std::vector<std::pair<std::string, std::string>> agents;
    bool retriesAllowed { true };
    int failures { 0 };
};

class TextReceiver final : public CompletionReceiver
{
public:
    bool onText(const std::string &piece) override
    {
        text += piece;
        ++pieces;
        return isOpen();
    }
    bool isOpen() override { return pieces < leavesAfter; }

    std::string text;
    int pieces { 0 };
    int leavesAfter { 1'000 };
};

struct RelayFixture
{
    RelayFixture() { selector.agents = { { "a", first.address() }, { "b", second.address() } }; }

    CompletionOutcome run(std::int64_t tokens, Duration deadline = Seconds(10))
    {
        return relay.run({ .requestId = "r",
                           .customer = "enna",
                           .model = "m",
                           .priority = "standard",
                           .prompt = "p",
                           .maximumTokens = tokens,
                           .deadline = clock.now() + deadline },
                         receiver);
    }

    SystemClock clock;
    SystemRandom random;
    Metrics metrics;
    MessageAuthenticator authenticator { "key", clock };
    PeerClient peers { clock, authenticator, [] { return 7; } };
    FakeSelector selector;
    FakeAgent first;
    FakeAgent second;
    TextReceiver receiver;
    CompletionRelay relay { { .silence = Milliseconds(150) },
                            clock,
                            random,
                            metrics,
                            peers,
                            selector,
                            [](const std::function<void()> &task) { task(); } };
};

using Then = AttemptScript::Then;

} // namespace

BOOST_FIXTURE_TEST_SUITE(CompletionRelayTests, RelayFixture)

// Guards against text that is delivered twice or crosses over from another attempt.
BOOST_AUTO_TEST_CASE(repeated_and_crossed_events_do_not_reach_the_caller)
{
    first.script({ .tokens = 5, .repeats = true });
    const CompletionOutcome outcome = run(5);
    BOOST_TEST(!outcome.problem);
    BOOST_TEST(receiver.text == FakeAgent::text(5));
    BOOST_TEST(outcome.usage.completionTokens == 5);
    BOOST_TEST(metrics.counter("lavenderpick_dropped_events_total") == 10U);
}

// Guards against a response that is cut off by a connection that breaks or falls silent (R6).
BOOST_AUTO_TEST_CASE(broken_and_silent_connections_are_resumed)
{
    for (const Then then : { Then::Break, Then::Silence }) {
        receiver.text.clear();
        const std::size_t before = first.resumes();
        first.script({ .tokens = 3, .then = then });
        BOOST_TEST(!run(8).problem);
        BOOST_TEST(receiver.text == FakeAgent::text(8));
        BOOST_TEST(first.resumes() == before + 1);
    }
    BOOST_TEST(second.attempts().empty());
}

// Guards against a response that is lost or starts again when its agent forgot it or its engine
// failed (R7).
BOOST_AUTO_TEST_CASE(new_attempt_elsewhere_continues_the_text)
{
    for (const AttemptScript &script :
         { AttemptScript { .tokens = 3, .then = Then::Break, .forgets = true },
           AttemptScript { .tokens = 3, .then = Then::Fail } }) {
        receiver.text.clear();
        first.script(script);
        BOOST_TEST(!run(8).problem);
        BOOST_TEST(receiver.text == FakeAgent::text(8));
        const AttemptRequest last = second.attempts().back();
        BOOST_TEST(last.resumeText == FakeAgent::text(3));
        BOOST_TEST(last.resumeOffset == 3);
        BOOST_TEST(first.cancelled().back() == first.attempts().back().attemptId);
    }
    BOOST_TEST(selector.failures == 2);
}

// Guards against a drain that counts as a failure of the upstream or as a run.
BOOST_AUTO_TEST_CASE(refusal_moves_on_and_is_no_failure)
{
    first.script({ .then = Then::Refuse });
    BOOST_TEST(!run(2).problem);
    BOOST_TEST(selector.failures == 0);
    BOOST_TEST(metrics.counter("lavenderpick_retries_total", "reason=\"upstream_draining\"") == 1U);

    first.script({ .then = Then::Refuse });
    second.script({ .then = Then::Refuse });
    const CompletionOutcome outcome = run(2);
    BOOST_TEST((outcome.problem && outcome.problem->ran == Ran::No));
}

// Guards against an altered response that ends as if it were complete (R8).
BOOST_AUTO_TEST_CASE(wrong_digest_fails_the_response)
{
    first.script({ .tokens = 3, .then = Then::WrongDigest });
    const CompletionOutcome outcome = run(3);
    BOOST_TEST((outcome.problem && outcome.problem->ran == Ran::Yes));
    BOOST_TEST(second.attempts().empty());
}

// Guards against an engine that works on for a caller who has left, or past the deadline (R9).
BOOST_AUTO_TEST_CASE(departure_and_deadline_cancel_the_attempt)
{
    receiver.leavesAfter = 2;
    first.script({ .tokens = 4, .then = Then::Silence });
    CompletionOutcome outcome = run(9);
    BOOST_TEST((outcome.problem && outcome.problem->reason == RefusalReason::Cancelled));
    BOOST_TEST(first.cancelled().size() == 1U);

    receiver.leavesAfter = 1'000;
    first.script({ .tokens = 4, .then = Then::Silence });
    outcome = run(9, Milliseconds(60));
    BOOST_TEST((outcome.problem && outcome.problem->reason == RefusalReason::DeadlineExceeded));
    BOOST_TEST(first.cancelled().size() == 2U);
    BOOST_TEST(second.attempts().empty());
}

// Guards against retries that multiply the load of a failing fleet.
BOOST_AUTO_TEST_CASE(exhausted_retry_budget_fails_the_response)
{
    selector.retriesAllowed = false;
    first.script({ .tokens = 3, .then = Then::Fail });
    BOOST_TEST(run(8).problem.has_value());
    BOOST_TEST(second.attempts().empty());
}

BOOST_AUTO_TEST_SUITE_END()
