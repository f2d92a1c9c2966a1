#include "Services/Entry/CompletionStream.h"
#include "lavenderpick/Base/Random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Lavenderpick;

namespace {

AttemptEvent token(const std::string &attempt, std::int64_t offset, const std::string &text)
{
    return {
        .type = AttemptEventType::Token, .attemptId = attempt, .offset = offset, .text = text
    };
}

AttemptEvent endOf(const std::string &attempt, const std::string &text, std::int64_t count)
{
    return { .type = AttemptEventType::End,
             .attemptId = attempt,
             .count = count,
             .digest = sha256(text),
             .finishReason = "stop" };
}

AttemptEvent failed(const std::string &attempt, const std::string &reason)
{
    return {
        .type = AttemptEventType::Failed, .attemptId = attempt, .reason = reason, .ran = "yes"
    };
}

CompletionStream startedStream()
{
    CompletionStream stream({ .fruitlessResumes = 2, .attempts = 2 });
    stream.startAttempt("a-1");
    return stream;
}

} // namespace

// Guards against text that is delivered twice or taken from an abandoned attempt.
BOOST_AUTO_TEST_CASE(repeated_and_crossed_events_are_dropped)
{
    CompletionStream stream = startedStream();
    BOOST_TEST((stream.onEvent(token("a-1", 0, "x")) == StreamStep::Deliver));
    BOOST_TEST((stream.onEvent(token("a-1", 0, "x")) == StreamStep::Drop));
    BOOST_TEST((stream.onEvent(token("a-0", 1, "?")) == StreamStep::Drop));
    BOOST_TEST((stream.onEvent(endOf("a-0", "?", 1)) == StreamStep::Drop));
    BOOST_TEST((stream.onEvent(token("a-1", 1, "y")) == StreamStep::Deliver));
    BOOST_TEST((stream.onEvent(endOf("a-1", "xy", 2)) == StreamStep::Finish));
    BOOST_TEST((stream.onEvent(token("a-1", 2, "z")) == StreamStep::Drop));
    BOOST_TEST(stream.text() == "xy");
    BOOST_TEST(stream.dropped() == 4);
    BOOST_TEST(stream.usage().completionTokens == 2);
}

// Guards against a response that lacks the events that were lost between two others.
BOOST_AUTO_TEST_CASE(gap_resumes_from_the_missing_offset)
{
    CompletionStream stream = startedStream();
    stream.onEvent(token("a-1", 0, "x"));
    BOOST_TEST((stream.onEvent(token("a-1", 2, "z")) == StreamStep::Resume));
    BOOST_TEST(stream.nextOffset() == 1);
    BOOST_TEST((stream.onEvent(endOf("a-1", "xyz", 3)) == StreamStep::Resume));
    BOOST_TEST((stream.onEvent(token("a-1", 1, "y")) == StreamStep::Deliver));
}

// Guards against an altered response that ends as if it were complete.
BOOST_AUTO_TEST_CASE(wrong_digest_or_count_fails)
{
    CompletionStream wrongDigest = startedStream();
    wrongDigest.onEvent(token("a-1", 0, "x"));
    BOOST_TEST((wrongDigest.onEvent(endOf("a-1", "y", 1)) == StreamStep::Fail));
    CompletionStream wrongCount = startedStream();
    wrongCount.onEvent(token("a-1", 0, "x"));
    BOOST_TEST((wrongCount.onEvent(endOf("a-1", "", 0)) == StreamStep::Fail));
}

// Guards against endless resumes at an agent that stays silent, and endless attempts.
BOOST_AUTO_TEST_CASE(resumes_and_attempts_are_bounded)
{
    CompletionStream stream = startedStream();
    stream.onEvent(token("a-1", 0, "x"));
    BOOST_TEST((stream.onInterruption() == StreamStep::Resume));
    BOOST_TEST((stream.onInterruption() == StreamStep::Resume));
    BOOST_TEST((stream.onInterruption() == StreamStep::NewAttempt));
    stream.startAttempt("a-2");
    BOOST_TEST((stream.onEvent(token("a-1", 1, "?")) == StreamStep::Drop));
    BOOST_TEST((stream.onEvent(token("a-2", 1, "y")) == StreamStep::Deliver));
    BOOST_TEST((stream.onEvent(failed("a-2", "upstream_failed")) == StreamStep::Fail));
    BOOST_TEST((stream.onInterruption() == StreamStep::Fail));
}

// Guards against retries of a request that every upstream must refuse.
BOOST_AUTO_TEST_CASE(permanent_failure_is_not_tried_again)
{
    CompletionStream stream = startedStream();
    BOOST_TEST((stream.onEvent(failed("a-1", "deadline_exceeded")) == StreamStep::Fail));
    CompletionStream draining = startedStream();
    BOOST_TEST((draining.onEvent(failed("a-1", "draining")) == StreamStep::NewAttempt));
    CompletionStream unknown = startedStream();
    BOOST_TEST((unknown.onEvent(failed("a-1", "new_reason")) == StreamStep::NewAttempt));
}

// Guards against any order of losses and repeats that ends complete with another text.
BOOST_AUTO_TEST_CASE(random_interleavings_keep_the_text_whole)
{
    SeededRandom random(7);
    for (int round = 0; round < 500; ++round) {
        CompletionStream stream({ .fruitlessResumes = 1000, .attempts = 1 });
        stream.startAttempt("a");
        StreamStep step = StreamStep::Deliver;
        while (step != StreamStep::Finish) {
            const auto offset = static_cast<std::int64_t>(random.below(7));
            const AttemptEvent event = offset == 6 ? endOf("a", "012345", 6)
                                                   : token("a", offset, std::to_string(offset));
            step = stream.onEvent(event);
        }
        BOOST_REQUIRE(stream.text() == "012345");
    }
}
