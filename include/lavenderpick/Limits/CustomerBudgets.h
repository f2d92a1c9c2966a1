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
    double costPerSecond { 1 }; ///< Guaranteed over all entries together.
    double weight { 1 };        ///< Share of idle capacity that is lent.

    bool operator==(const CustomerLimit &) const = default;
};

struct BudgetSettings
{
    double rateAveragingSeconds { 10 }; ///< Averaging time of the offered load.
    double burstSeconds { 5 };          ///< Unused budget kept.
    double unknownUsageShare { 4 };     ///< Share of an entry until usage is known, over 1/entries.
    double nearBudgetShare { 0.5 };     ///< Of a budget, above which usage is gossiped.
    double minimumEntryShare { 0.25 };  ///< Least share of an entry, over 1/entries.
    double lendBelowPressure { 0.7 };   ///< Pressure below which more idle capacity is lent.
    double reclaimAbovePressure { 0.9 }; ///< Pressure above which it is taken back.
    double lendStepPerSecond {
        0.05
    }; ///< Lent capacity added a second, as a share of `lendMaximum`.
    double maximumLentPerWeight { 50 }; ///< Most capacity lent per unit of weight, cost a second.
    std::size_t maximumCustomers { 16'384 }; ///< Customers with state; about twice the target size.
};

/// Budgets of all customers at one entry, shared with the other entries by gossip. Not safe for
/// concurrent use; no call does I/O.
///
/// Each entry admits its part of a customer's budget, in proportion to the load offered to it. A
/// bucket may go into debt by one request, so that a request larger than a second's budget is
/// admitted and paid for afterwards.
class CustomerBudgets final : private UsageSource
{
public:
    explicit CustomerBudgets(const BudgetSettings &settings = {});

    /// Sets a customer's limit from the document; unknown customers get `CustomerLimit {}`.
    void setLimit(const std::string &customer, const CustomerLimit &limit);
    void removeLimit(const std::string &customer);

    /// Entries that share the budgets, including this one.
    void setEntryCount(std::size_t count);

    /// Charges `cost` and returns nothing when the customer has budget; else returns the time after
    /// which it has, if its share stays as it is. `cost` counts as offered in both cases.
    std::optional<Duration> charge(const std::string &customer, double cost, TimePoint now);

    /// Corrects a charge once the true cost is known, or returns it when the request did not run.
    void refund(const std::string &customer, double cost);

    /// Adjusts the capacity that is lent. `pressure` is the fleet's utilisation as seen here: 1 is
    /// full. Call once a second.
    void adjustLending(double pressure, TimePoint now);

    /// Fills `usage` and `usageEpoch` of a datagram to a random peer (M5).
    void fillGossip(Gossip &gossip, TimePoint now);

    /// Merges a peer's datagram; for a question, fills the answer's usage.
    void mergeGossip(const Gossip &received, Gossip *answer, TimePoint now);

    /// Predicted cost a second that the customer offers over all entries; nothing until known.
    std::optional<double> clusterUsage(const std::string &customer) const;

    double lentPerWeight() const { return m_lentPerWeight; }

private:
    struct Account
    {
        double balance { 0 };     ///< Of the bucket; negative is debt.
        double offeredRate { 0 }; ///< Cost a second offered here, exponentially averaged.
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
    bool m_admitsAll { false }; ///< All capacity is lent and still not used: nobody is refused.
    TimePoint m_lendingAdjustedAt {};
};

} // namespace Lavenderpick
