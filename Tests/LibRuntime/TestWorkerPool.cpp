#include "lavenderpick/Runtime/WorkerPool.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

using namespace Lavenderpick;

// Guards against a queue that grows without bound while peers do not answer.
BOOST_AUTO_TEST_CASE(full_queue_drops_tasks)
{
    std::atomic<bool> started { false };
    std::atomic<bool> release { false };
    std::atomic<int> ran { 0 };
    WorkerPool pool(1, 1);
    pool.post([&] {
        started = true;
        while (!release)
            std::this_thread::yield();
    });
    while (!started)
        std::this_thread::yield();
    BOOST_TEST(pool.post([&] { ++ran; }));
    BOOST_TEST(!pool.post([&] { ++ran; }));
    release = true;
    while (ran == 0)
        std::this_thread::yield();
}

// Guards against a failing task that ends its thread.
BOOST_AUTO_TEST_CASE(failing_task_leaves_the_pool_working)
{
    std::atomic<bool> ran { false };
    WorkerPool pool(1, 8);
    pool.post([] { throw std::runtime_error("fails"); });
    pool.post([&] { ran = true; });
    while (!ran)
        std::this_thread::yield();
}
