#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Limits/CustomerBudgets.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };
constexpr double budgetCostPerSecond = 10;

/// Entries that gossip once a second and lose some of the datagrams.
class Cluster
{
public:
    explicit Cluster(std::size_t entryCount, double lossRate = 0)
        : m_lossRate(lossRate)
    {
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            m_entries.emplace_back();
            m_entries.back().setEntryCount(entryCount);
            m_entries.back().setLimit("c", { .costPerSecond = budgetCostPerSecond });
        }
    }

    /// Offers `costPerSecond` over the first `usedEntries` entries and returns the cost admitted.
    double run(int seconds, double costPerSecond, std::size_t usedEntries, double requestCost)
    {
        double admitted = 0;
        for (int second = 0; second < seconds; ++second) {
            for (m_pendingCost += costPerSecond; m_pendingCost > 0; m_pendingCost -= requestCost) {
                const TimePoint now = m_now + Milliseconds(m_random.below(1'000));
                if (!m_entries[m_random.below(usedEntries)].charge("c", requestCost, now))
                    admitted += requestCost;
            }
            m_now += Seconds(1);
            gossip();
        }
        return admitted;
    }

private:
    void gossip()
    {
        for (CustomerBudgets &entry : m_entries) {
            CustomerBudgets &peer = m_entries[m_random.below(m_entries.size())];
            if (&peer == &entry)
                continue;
            Gossip question;
            Gossip answer;
            entry.fillGossip(question, m_now);
            if (m_random.unit() < m_lossRate)
                continue;
            peer.mergeGossip(question, &answer, m_now);
            if (m_random.unit() >= m_lossRate)
                entry.mergeGossip(answer, nullptr, m_now);
        }
    }

    double m_lossRate;
    std::deque<CustomerBudgets> m_entries;
    SeededRandom m_random { 3 };
    TimePoint m_now { start };
    double m_pendingCost { 0 };
};

} // namespace

// Guards against a customer that exceeds its budget by spreading requests over many entries, also
// while datagrams are lost.
BOOST_AUTO_TEST_CASE(budget_is_enforced_across_entries)
{
    for (const double loss : { 0.0, 0.2 }) {
        Cluster cluster(330, loss);
        const double initiallyAdmitted = cluster.run(40, 10 * budgetCostPerSecond, 330, 0.1);
        BOOST_TEST(initiallyAdmitted < 4 * 40 * budgetCostPerSecond); // Until the usage is known.
        const double admitted = cluster.run(60, 10 * budgetCostPerSecond, 330, 0.1);
        BOOST_TEST(admitted > 0.8 * 60 * budgetCostPerSecond);
        BOOST_TEST(admitted < 1.3 * 60 * budgetCostPerSecond);
    }
}

// Guards against a customer that gets only 1/330 of its budget because it uses one entry.
BOOST_AUTO_TEST_CASE(single_entry_gets_the_whole_budget)
{
    Cluster cluster(330);
    cluster.run(60, 2 * budgetCostPerSecond, 1, 0.1);
    const double admitted = cluster.run(60, 2 * budgetCostPerSecond, 1, 0.1);
    BOOST_TEST(admitted > 0.7 * 60 * budgetCostPerSecond);
    BOOST_TEST(admitted < 1.3 * 60 * budgetCostPerSecond);
}

// Guards against refusing a long prompt forever because it costs more than a second's budget, and
// against a wrong Retry-After.
BOOST_AUTO_TEST_CASE(expensive_request_leaves_debt)
{
    CustomerBudgets budgets;
    budgets.setLimit("c", { .costPerSecond = 2 });
    BOOST_TEST(!budgets.charge("c", 60, start).has_value());
    const auto wait = budgets.charge("c", 1, start);
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST((*wait > Seconds(24) && *wait < Seconds(26)));
    BOOST_TEST(budgets.charge("c", 1, start + *wait - Milliseconds(10)).has_value());
    BOOST_TEST(!budgets.charge("c", 1, start + *wait).has_value());
    budgets.refund("c", 5);
    BOOST_TEST(!budgets.charge("c", 1, start + *wait).has_value());
}

// Guards against idle capacity that is not lent, and against lent capacity that is not reclaimed.
BOOST_AUTO_TEST_CASE(idle_capacity_is_lent_and_reclaimed)
{
    CustomerBudgets budgets;
    budgets.setLimit("small", { .costPerSecond = 1, .weight = 1 });
    budgets.setLimit("large", { .costPerSecond = 1, .weight = 3 });
    TimePoint now = start;
    const auto offer = [&](double pressure, int seconds, const std::string &customer) {
        double admitted = 0;
        for (int tenth = 0; tenth < 10 * seconds; ++tenth) {
            now += Milliseconds(100);
            if (tenth % 10 == 0)
                budgets.adjustLending(pressure, now);
            for (int request = 0; request < 20; ++request)
                admitted += budgets.charge(customer, 1, now) ? 0 : 1;
        }
        return admitted / seconds;
    };
    offer(0.1, 30, "small");
    const double small = offer(0.8, 30, "small");
    const double large = offer(0.8, 30, "large");
    BOOST_TEST(small > 40);
    BOOST_TEST(large > 2.5 * small);
    offer(1.5, 10, "small");
    BOOST_TEST(offer(1.5, 30, "small") < 1.5);
}

// Guards against refusing a customer's short requests on an idle fleet after one long request.
BOOST_AUTO_TEST_CASE(idle_fleet_admits_every_request)
{
    CustomerBudgets budgets;
    budgets.setEntryCount(60);
    TimePoint now = start;
    for (int second = 0; second < 30; ++second) {
        now += Seconds(1);
        budgets.adjustLending(0.1, now);
    }
    for (int request = 0; request < 10; ++request)
        BOOST_TEST(!budgets.charge("c", 60, now).has_value());
    budgets.adjustLending(1.5, now + Seconds(1));
    const auto wait = budgets.charge("c", 1, now + Seconds(1));
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST((*wait < Seconds(11)));
}

// Guards against datagrams over 1,200 bytes when many customers are near their budgets, against
// customers whose usage is then never sent, and against unbounded memory.
BOOST_AUTO_TEST_CASE(gossip_size_and_account_count_are_bounded)
{
    CustomerBudgets budgets({ .maximumCustomers = 500 });
    budgets.setEntryCount(330);
    for (int number = 0; number < 2'000; ++number)
        budgets.charge("customer-" + std::to_string(number), 1, start);
    std::map<std::string, double> gossipedCustomers;
    for (int round = 0; round < 30; ++round) {
        Gossip gossip { .entry = "entry-with-a-name", .address = "192.168.100.100:12345" };
        budgets.fillGossip(gossip, start);
        BOOST_TEST(encodeDatagram(gossip, "key").size() <= maximumDatagramBytes);
        gossipedCustomers.insert(gossip.usage.begin(), gossip.usage.end());
    }
    BOOST_TEST(gossipedCustomers.size() == 500u);
}
