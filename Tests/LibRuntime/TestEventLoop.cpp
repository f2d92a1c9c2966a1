#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Runtime/DatagramSocket.h"
#include "lavenderpick/Runtime/EventLoop.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace Lavenderpick;

// Guards against timers that read the system instead of the clock, which no test could advance.
BOOST_AUTO_TEST_CASE(timers_follow_the_clock)
{
    ManualClock clock;
    SeededRandom random(1);
    EventLoop loop(clock, random);
    int calls = 0;
    loop.every({ .length = Seconds(10), .jitter = 0.2 }, [&] { ++calls; });
    clock.advance(Milliseconds(7'900));
    loop.runDueTimers();
    BOOST_TEST(calls == 0);
    clock.advance(Milliseconds(4'200));
    loop.runDueTimers();
    BOOST_TEST(calls == 1);
    loop.runDueTimers();
    BOOST_TEST(calls == 1);
}

// Guards against a slow store call of which a second copy is started at every period.
BOOST_AUTO_TEST_CASE(worker_task_does_not_overlap_itself)
{
    ManualClock clock;
    SeededRandom random(1);
    EventLoop loop(clock, random, 4);
    std::atomic<int> started { 0 };
    std::atomic<bool> release { false };
    loop.everyOnWorker({ .length = Seconds(1), .jitter = 0 }, [&] {
        ++started;
        while (!release)
            std::this_thread::yield();
    });
    for (int i = 0; i < 3; ++i) {
        clock.advance(Seconds(1));
        loop.runDueTimers();
    }
    while (started == 0)
        std::this_thread::yield();
    BOOST_TEST(started == 1);
    release = true;
}

// Guards against SIGTERM that kills the process instead of starting a drain.
BOOST_AUTO_TEST_CASE(termination_signal_calls_the_handler)
{
    SystemClock clock;
    SystemRandom random;
    EventLoop loop(clock, random);
    bool called = false;
    loop.onTerminationSignal([&] {
        called = true;
        loop.stop();
    });
    std::raise(SIGTERM);
    loop.run();
    BOOST_TEST(called);
}

// Guards against datagrams whose sender can't be answered.
BOOST_AUTO_TEST_CASE(datagram_reaches_the_peer_and_returns)
{
    SystemClock clock;
    SystemRandom random;
    EventLoop loop(clock, random);
    std::string answer;
    DatagramSocket left(loop, "127.0.0.1", 0, [&](const std::string &bytes, const std::string &) {
        answer = bytes;
        loop.stop();
    });
    DatagramSocket right(loop, "127.0.0.1", 0,
                         [&](const std::string &bytes, const std::string &sender) {
                             right.send(sender, bytes + "!");
                         });
    BOOST_TEST(left.send("127.0.0.1:" + std::to_string(right.port()), "load"));
    BOOST_TEST(!left.send("nowhere", "load"));
    loop.run();
    BOOST_TEST(answer == "load!");
    BOOST_CHECK_THROW(DatagramSocket(loop, "not an address", 0, nullptr), Error);
}
