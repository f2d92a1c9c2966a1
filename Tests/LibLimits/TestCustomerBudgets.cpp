#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Limits/CustomerBudgets.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };
constexpr double budget = 10;

/// Entries that gossip once a second and lose a share of the datagrams.
class Cluster
{
public:
    explicit Cluster(std::size_t entries, double loss = 0)
        : m_loss(loss)
    {
        for (std::size_t entry = 0; entry < entries; ++entry) {
            m_entries.emplace_back();
            m_entries.back().setEntryCount(entries);
            m_entries.back().setLimit("c", { .costPerSecond = budget });
        }
    }

    /// Offers `costPerSecond` over the first `used` entries and returns the cost admitted.
    double run(int seconds, double costPerSecond, std::size_t used, double requestCost)
    {
        double admitted = 0;
        for (int second = 0; second < seconds; ++second) {
            for (m_due += costPerSecond; m_due > 0; m_due -= requestCost) {
                const TimePoint now = m_now + Milliseconds(m_random.below(1'000));
                if (!m_entries[m_random.below(used)].charge("c", requestCost, now))
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
            if (m_random.unit() < m_loss)
                continue;
            peer.mergeGossip(question, &answer, m_now);
            if (m_random.unit() >= m_loss)
                entry.mergeGossip(answer, nullptr, m_now);
        }
    }

    double m_loss;
    std::deque<CustomerBudgets> m_entries;
    SeededRandom m_random { 3 };
    TimePoint m_now { start };
    double m_due { 0 };
};

} // namespace

// Guards against a budget that is exceeded by spreading requests over many entries, also while
// datagrams are lost.
BOOST_AUTO_TEST_CASE(budget_holds_over_many_entries)
{
    for (const double loss : { 0.0, 0.2 }) {
        Cluster cluster(330, loss);
        const double first = cluster.run(40, 10 * budget, 330, 0.1);
        BOOST_TEST(first < 4 * 40 * budget); // Until the usage is known.
        const double admitted = cluster.run(60, 10 * budget, 330, 0.1);
        BOOST_TEST(admitted > 0.8 * 60 * budget);
        BOOST_TEST(admitted < 1.3 * 60 * budget);
    }
}

// Guards against a customer that gets only 1/330 of its budget because it uses one entry.
BOOST_AUTO_TEST_CASE(budget_follows_the_customer_to_one_entry)
{
    Cluster cluster(330);
    cluster.run(60, 2 * budget, 1, 0.1);
    const double admitted = cluster.run(60, 2 * budget, 1, 0.1);
    BOOST_TEST(admitted > 0.7 * 60 * budget);
    BOOST_TEST(admitted < 1.3 * 60 * budget);
}

// Guards against refusing a long prompt for good because it costs more than a second's budget, and
// against a false Retry-After.
BOOST_AUTO_TEST_CASE(long_request_is_paid_afterwards)
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

// Guards against idle capacity that nobody may use, and against lending that is not taken back.
BOOST_AUTO_TEST_CASE(idle_capacity_is_lent_and_taken_back)
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
BOOST_AUTO_TEST_CASE(idle_fleet_refuses_nobody)
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
// customers that then never take part, and against memory without bound.
BOOST_AUTO_TEST_CASE(gossip_is_bounded)
{
    CustomerBudgets budgets({ .maximumCustomers = 500 });
    budgets.setEntryCount(330);
    for (int number = 0; number < 2'000; ++number)
        budgets.charge("customer-" + std::to_string(number), 1, start);
    std::map<std::string, double> seen;
    for (int round = 0; round < 30; ++round) {
        Gossip gossip { .entry = "entry-with-a-name", .address = "192.168.100.100:12345" };
        budgets.fillGossip(gossip, start);
        BOOST_TEST(encodeDatagram(gossip, "key").size() <= maximumDatagramBytes);
        seen.insert(gossip.usage.begin(), gossip.usage.end());
    }
    BOOST_TEST(seen.size() == 500u);
}
