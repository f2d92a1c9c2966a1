#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Limits/UsageGossip.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace Lavenderpick {

/// A customer's limits, in seconds of predicted engine time (`PredictedCost::chargedSeconds`).
struct CustomerLimit
{
    double costPerSecond { 1 }; ///< Guaranteed, summed over all entries.
    double weight { 1 };        ///< Idle capacity is lent in proportion to it.

    bool operator==(const CustomerLimit &) const = default;
};

struct BudgetSettings
{
    double rateAveragingSeconds { 10 };  ///< Time constant of the average of the offered rate.
    double burstSeconds { 5 };           ///< Bucket depth, in seconds of the refill rate.
    double unknownUsageShare { 4 };      ///< Entry's share until usage is known, times 1/entries.
    double nearBudgetShare { 0.5 };      ///< Share of a budget above which usage is gossiped.
    double minimumEntryShare { 0.25 };   ///< Entry's minimum share, times 1/entries.
    double lendBelowPressure { 0.7 };    ///< Pressure below which lent capacity grows.
    double reclaimAbovePressure { 0.9 }; ///< Pressure above which lent capacity shrinks.
    /// Growth of lent capacity, as a share of `maximumLentPerWeight`.
    double lendStepPerSecond { 0.05 };
    double maximumLentPerWeight { 50 }; ///< Cost per second lent per unit of weight.
    /// Accounts kept; about twice the target number of customers.
    std::size_t maximumCustomers { 16'384 };
};

/// Token buckets of all customers at one entry (a process that accepts callers' requests). Not safe
/// for concurrent use; no call does I/O.
///
/// The entries share each customer's budget in proportion to the load offered to them, which they
/// learn by gossip. A bucket can go into debt by one request, so that a request larger than a
/// second's budget is admitted and paid back afterwards.
class CustomerBudgets final : private UsageSource
{
public:
    explicit CustomerBudgets(const BudgetSettings &settings = {});

    /// Sets a customer's limit. Customers without one get `CustomerLimit {}`.
    void setLimit(const std::string &customer, const CustomerLimit &limit);
    void removeLimit(const std::string &customer);

    /// Sets the number of entries that share the budgets, including this one.
    void setEntryCount(std::size_t count);

    /// Charges `cost` and returns nothing when the customer has budget left. Otherwise returns the
    /// time until it has, assuming that this entry's share stays the same. `cost` counts towards
    /// the offered rate in both cases.
    std::optional<Duration> charge(const std::string &customer, double cost, TimePoint now);

    /// Corrects a charge once the actual cost is known, or returns it when the request did not run.
    void refund(const std::string &customer, double cost);

    /// Adjusts the idle capacity lent to customers. `pressure` is the fleet's utilisation as seen
    /// by this entry; 1 is full. Call once a second.
    void adjustLending(double pressure, TimePoint now);

    /// Fills `usage` and `usageEpoch` of a datagram to a random peer.
    void fillGossip(Gossip &gossip, TimePoint now);

    /// Merges a peer's datagram and fills the usage of `answer`, which is null when `received` is
    /// an answer itself.
    void mergeGossip(const Gossip &received, Gossip *answer, TimePoint now);

    /// Predicted cost per second that the customer offers over all entries; empty until known.
    std::optional<double> clusterUsage(const std::string &customer) const;

    double lentPerWeight() const { return m_lentPerWeight; }

private:
    struct Account
    {
        double balance { 0 };     ///< Cost available; negative is debt.
        double offeredRate { 0 }; ///< Cost per second offered here, as a moving average.
        TimePoint updatedAt {};
    };

    Account &findOrCreateAccount(const std::string &customer, TimePoint now);
    const CustomerLimit &limit(const std::string &customer) const;
    double clusterRate(const std::string &customer) const;
    double entryRate(const std::string &customer) const;
    void advance(const std::string &customer, Account &account, TimePoint now) const;
    void evictAccount();
    std::map<std::string, double> customersNearBudget(TimePoint now) override;
    double offeredRate(const std::string &customer, TimePoint now) override;

    BudgetSettings m_settings;
    std::unordered_map<std::string, CustomerLimit> m_limits;
    std::unordered_map<std::string, Account> m_accounts;
    UsageGossip m_gossip;
    std::size_t m_entryCount { 1 };
    double m_lentPerWeight { 0 };
    bool m_admitsAll { false }; ///< All capacity is lent and pressure is still low.
    TimePoint m_lendingAdjustedAt {};
};

} // namespace Lavenderpick
