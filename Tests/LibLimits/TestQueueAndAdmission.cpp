#include "lavenderpick/Limits/Admission.h"
#include "lavenderpick/Limits/FairQueue.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

QueuedRequest makeRequest(std::uint64_t id, const std::string &customer, int priorityRank = 0,
                          double cost = 1)
{
    return { .id = id,
             .customer = customer,
             .priorityRank = priorityRank,
             .cost = cost,
             .deadline = start + Seconds(100) + Milliseconds(id),
             .enqueuedAt = start };
}

CallerAdmissionRequest makeAdmissionRequest(int priorityRank, double executionSeconds,
                                            double waitSeconds, double remainingSeconds)
{
    return { .customer = "c",
             .priorityRank = priorityRank,
             .priorityCount = 3,
             .chargedSeconds = 1,
             .executionSeconds = executionSeconds,
             .waitSeconds = waitSeconds,
             .remainingSeconds = remainingSeconds };
}

} // namespace

// Guards against a customer that delays the others by queueing many or large requests.
BOOST_AUTO_TEST_CASE(queue_is_weighted_fair)
{
    FairQueue queue;
    for (std::uint64_t id = 0; id < 100; ++id) {
        QueuedRequest heavy = makeRequest(id, "heavy", 0, 4);
        QueuedRequest light = makeRequest(1'000 + id, "light");
        light.weight = 2;
        queue.push(heavy);
        queue.push(light);
    }
    std::map<std::string, double> cost;
    for (int count = 0; count < 90; ++count) {
        const auto next = queue.pop(start);
        cost[next->customer] += next->cost;
    }
    BOOST_TEST(cost["light"] == 2 * cost["heavy"], boost::test_tools::tolerance(0.1));
}

// Guards against starvation of an expensive request of low priority under a constant inflow of
// cheap requests of high priority.
BOOST_AUTO_TEST_CASE(aged_request_is_served_within_four_turns)
{
    FairQueue queue;
    queue.push(makeRequest(1, "c", 2, 100));
    TimePoint now = start;
    int turns = 0;
    for (std::uint64_t id = 2; id < 1'000; ++id) {
        QueuedRequest urgent = makeRequest(id, "c");
        urgent.enqueuedAt = now;
        queue.push(urgent);
        now += Milliseconds(100);
        ++turns;
        if (queue.pop(now)->id == 1)
            break;
    }
    BOOST_TEST(turns >= 100);
    BOOST_TEST(turns <= 104);
}

// Guards against serving a customer's requests out of deadline order, and against serving requests
// whose deadline has passed.
BOOST_AUTO_TEST_CASE(earliest_deadline_goes_first)
{
    FairQueue queue;
    for (const std::uint64_t id : { 3, 1, 2 })
        queue.push(makeRequest(id, "c"));
    BOOST_TEST(queue.expire(start + Seconds(100) + Milliseconds(1)).size() == 1u);
    BOOST_TEST(queue.pop(start)->id == 2u);
    BOOST_TEST(queue.remove(3));
    BOOST_TEST(!queue.remove(3));
    BOOST_TEST(!queue.pop(start).has_value());
    BOOST_TEST(queue.queuedCost() == 0);
}

// Guards against an unbounded queue, and against shedding a higher priority before a lower one.
BOOST_AUTO_TEST_CASE(full_queue_sheds_the_lowest_priority)
{
    FairQueue queue({ .maximumRequests = 2 });
    queue.push(makeRequest(1, "c", 2));
    queue.push(makeRequest(2, "c", 1));
    BOOST_TEST(queue.push(makeRequest(3, "c", 0))->id == 1u);
    BOOST_TEST(queue.push(makeRequest(4, "c", 2))->id == 4u);
    BOOST_TEST(queue.size() == 2u);
}

// Guards against admitting requests that can't finish in time, and against a Retry-After where a
// retry can't succeed.
BOOST_AUTO_TEST_CASE(infeasible_deadline_is_refused)
{
    CustomerBudgets budgets;
    Admission admission({}, budgets);
    const CallerAdmissionDecision impossible =
            admission.admit(makeAdmissionRequest(0, 10, 0, 5), start);
    BOOST_TEST((impossible.refusal == RefusalReason::DeadlineTooShort));
    BOOST_TEST(!impossible.retryAfterSeconds.has_value());
    const CallerAdmissionDecision delayed =
            admission.admit(makeAdmissionRequest(0, 10, 20, 25), start);
    BOOST_TEST((delayed.refusal == RefusalReason::DeadlineTooShort));
    BOOST_TEST(delayed.retryAfterSeconds.value() == 10);
    BOOST_TEST(admission.admit(makeAdmissionRequest(0, 10, 20 - 10, 25), start).admitted());
}

// Guards against shedding in an order other than that of the document's priorities.
BOOST_AUTO_TEST_CASE(shedding_follows_priority_order)
{
    CustomerBudgets budgets;
    budgets.setLimit("c", { .costPerSecond = 1'000 });
    Admission admission({}, budgets);
    int refused = 0;
    for (const double pressure : { 0.9, 1.2, 1.7, 2.5 }) {
        admission.setPressure(pressure);
        for (int priorityRank = 0; priorityRank < 3; ++priorityRank) {
            const CallerAdmissionDecision decision =
                    admission.admit(makeAdmissionRequest(priorityRank, 1, 0, 100), start);
            BOOST_TEST(decision.admitted() == (priorityRank < 3 - refused));
            BOOST_TEST(decision.retryAfterSeconds.has_value() == !decision.admitted());
        }
        ++refused;
    }
}

// Guards against charging the budget for requests that are refused for another reason.
BOOST_AUTO_TEST_CASE(refused_request_costs_no_budget)
{
    CustomerBudgets budgets;
    Admission admission({}, budgets);
    for (int count = 0; count < 100; ++count)
        admission.admit(makeAdmissionRequest(0, 10, 0, 5), start);
    BOOST_TEST(admission.admit(makeAdmissionRequest(0, 1, 0, 5), start).admitted());
    for (int count = 0; count < 10; ++count)
        admission.admit(makeAdmissionRequest(0, 1, 0, 5), start);
    const CallerAdmissionDecision decision =
            admission.admit(makeAdmissionRequest(0, 1, 0, 5), start);
    BOOST_TEST((decision.refusal == RefusalReason::CustomerBudget));
    BOOST_TEST(decision.retryAfterSeconds.has_value());
}
