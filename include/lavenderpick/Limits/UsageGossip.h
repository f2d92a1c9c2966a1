#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Protocol/Datagrams.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Lavenderpick {

/// What an entry's callers offer, in predicted cost a second.
class UsageSource
{
public:
    virtual ~UsageSource() = default;

    /// Rates of the customers near their budget.
    virtual std::map<std::string, double> customersNearBudget(TimePoint now) = 0;

    virtual double offeredRate(const std::string &customer, TimePoint now) = 0;
};

/// A customer's usage in the last complete epoch.
struct CustomerUsage
{
    double meanRate { 0 }; ///< Per entry, over all entries.
    double localRate {
        0
    }; ///< Here, when the epoch began, so that the shares of all entries add to 1.

    bool operator==(const CustomerUsage &) const = default;
};

/// Averages customers' usage over all entries by pairwise gossip in epochs. Not safe for concurrent
/// use.
///
/// In an epoch each entry starts from its own rate; each exchange with a random peer sets both to
/// their mean, which keeps the sum. After about ten exchanges every entry holds the mean. A new
/// epoch starts from fresh rates, so lost datagrams and entries that left do no lasting harm. An
/// entry that hears of a later epoch joins it at once.
class UsageGossip
{
public:
    explicit UsageGossip(Duration epoch = Seconds(10), std::size_t maximumCustomers = 1'024);

    /// Starts the next epoch when it is time.
    void advance(UsageSource &source, TimePoint now);

    /// Fills a datagram with as many customers as fit, in rotation.
    void fill(Gossip &gossip);

    /// Merges a peer's datagram of the same epoch. `answer` is null for an answer, else it gets the
    /// values of before for the same customers.
    void merge(const Gossip &received, Gossip *answer, UsageSource &source, TimePoint now);

    /// Nothing when the customer was not near its budget anywhere.
    std::optional<CustomerUsage> usage(const std::string &customer) const;

    /// Bytes of customer names and rates in one datagram; the rest is left to the other fields.
    static constexpr std::size_t maximumUsageBytes = 900;

private:
    void startEpoch(std::int64_t epoch, UsageSource &source, TimePoint now);

    Duration m_epochDuration;
    std::size_t m_maximumCustomers;
    std::int64_t m_epoch { 0 };
    TimePoint m_epochStart {};
    int m_exchangeCount { 0 };
    std::map<std::string, CustomerUsage> m_currentUsage; ///< `mean` converges to the mean.
    std::map<std::string, double> m_sentMeans;           ///< Values in the question under way.
    std::unordered_map<std::string, CustomerUsage> m_completedUsage;
    std::string m_lastSentCustomer; ///< Last customer sent.
};

} // namespace Lavenderpick
