#include "Services/Entry/AnswerChannel.h"
#include "Services/Entry/DrainGate.h"
#include "Services/Entry/StreamedCompletion.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Lavenderpick;

// Guards against a caller that reads slowly and makes the entry hold whole responses.
BOOST_AUTO_TEST_CASE(full_channel_holds_the_relay_back_until_it_is_read)
{
    AnswerChannel channel;
    const std::string piece(64 * 1024, 'x');
    BOOST_TEST(channel.onText(piece));
    std::thread relay([&] {
        channel.onText("y");
        channel.finish({});
    });
    BOOST_TEST(channel.take(Seconds(5)).text == piece);
    std::string rest;
    while (rest.empty())
        rest = channel.take(Seconds(5)).text;
    relay.join();
    BOOST_TEST(rest == "y");
    channel.close();
    BOOST_TEST(!channel.onText("z"));
}

// Guards against a refusal that reaches the caller as a stream with status 200.
BOOST_AUTO_TEST_CASE(failure_before_the_first_text_becomes_a_problem)
{
    const CompletionFormat format("r", "m", 0);
    StreamedCompletion refused(format, [](CompletionReceiver &) {
        return CompletionOutcome { .problem = Problem { .reason = RefusalReason::NoUpstream } };
    });
    BOOST_CHECK_THROW(refused.waitForFirstText(), ProblemError);
}

// Guards against streams that lose text around their start, or that end as complete after a
// failure.
BOOST_AUTO_TEST_CASE(stream_writes_all_text_and_its_true_end)
{
    for (const bool fails : { false, true }) {
        const CompletionFormat format("r", "m", 0);
        StreamedCompletion stream(format, [fails](CompletionReceiver &receiver) {
            receiver.onText("one ");
            std::this_thread::sleep_for(Milliseconds(20));
            receiver.onText("two");
            CompletionOutcome outcome { .text = "one two", .finishReason = "stop" };
            if (fails)
                outcome.problem = Problem { .reason = RefusalReason::UpstreamFailed };
            return outcome;
        });
        stream.waitForFirstText();
        std::string written;
        bool done = false;
        httplib::DataSink sink;
        sink.write = [&](const char *data, std::size_t size) {
            written.append(data, size);
            return true;
        };
        sink.done = [&] { done = true; };
        while (!done)
            BOOST_REQUIRE(stream.writeNext(sink));
        BOOST_TEST(written.find("\"text\":\"one ") < written.find("two"));
        BOOST_TEST((written.find("[DONE]") == std::string::npos) == fails);
        BOOST_TEST((written.find("\"error\"") != std::string::npos) == fails);
    }
}

// Guards against an engine that works on for a stream whose caller has left.
BOOST_AUTO_TEST_CASE(failed_write_tells_the_relay)
{
    std::atomic<bool> left { false };
    {
        StreamedCompletion stream(CompletionFormat("r", "m", 0), [&](CompletionReceiver &receiver) {
            while (receiver.onText("x"))
                std::this_thread::sleep_for(Milliseconds(1));
            left = true;
            return CompletionOutcome {};
        });
        stream.waitForFirstText();
        httplib::DataSink sink;
        sink.write = [](const char *, std::size_t) { return false; };
        BOOST_TEST(!stream.writeNext(sink));
    }
    BOOST_TEST(left);
}

// Guards against a planned stop that does not wait for running requests or takes new ones.
BOOST_AUTO_TEST_CASE(drain_waits_for_the_last_pass)
{
    DrainGate gate;
    auto pass = gate.enter();
    gate.announce();
    BOOST_TEST(gate.isAnnounced());
    BOOST_TEST((gate.enter() != nullptr));
    gate.close();
    BOOST_TEST((gate.enter() == nullptr));
    BOOST_TEST(!gate.waitUntilEmpty(Milliseconds(5)));
    pass.reset();
    BOOST_TEST(gate.waitUntilEmpty(Milliseconds(5)));
}
