#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Protocol/Datagrams.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Lavenderpick {

/// Provides the load that callers offer to this entry, in predicted cost per second.
class UsageSource
{
public:
    virtual ~UsageSource() = default;

    /// Offered rates of the customers near their budget.
    virtual std::map<std::string, double> customersNearBudget(TimePoint now) = 0;

    virtual double offeredRate(const std::string &customer, TimePoint now) = 0;
};

/// A customer's offered load in one epoch, in predicted cost per second.
struct CustomerUsage
{
    double meanRate { 0 }; ///< Mean over all entries.
    /// At this entry when the epoch began, so that the shares of all entries add up to 1.
    double localRate { 0 };

    bool operator==(const CustomerUsage &) const = default;
};

/// Averages customers' usage over all entries by pairwise gossip in epochs. Not safe for concurrent
/// use.
///
/// In an epoch each entry starts from its own rate, and each exchange with a random peer sets both
/// values to their mean, which keeps the sum. After about ten exchanges every entry holds the mean.
/// A new epoch starts from current rates, so that lost datagrams and entries that left have no
/// lasting effect. An entry that receives a later epoch joins it at once.
class UsageGossip
{
public:
    explicit UsageGossip(Duration epoch = Seconds(10), std::size_t maximumCustomers = 1'024);

    /// Starts the next epoch when the current one is over.
    void advance(UsageSource &source, TimePoint now);

    /// Fills a datagram with as many customers as fit, continuing where the last one stopped.
    void fill(Gossip &gossip);

    /// Merges a peer's datagram of the same epoch. `answer` gets the values from before the merge
    /// for the same customers; it is null when `received` is an answer itself.
    void merge(const Gossip &received, Gossip *answer, UsageSource &source, TimePoint now);

    /// Usage in the last complete epoch; empty when the customer was near its budget at no entry.
    std::optional<CustomerUsage> usage(const std::string &customer) const;

    /// Bytes of customer names and rates in one datagram; leaves room for the other fields.
    static constexpr std::size_t maximumUsageBytes = 900;

private:
    void startEpoch(std::int64_t epoch, UsageSource &source, TimePoint now);

    Duration m_epochDuration;
    std::size_t m_maximumCustomers;
    std::int64_t m_epoch { 0 };
    TimePoint m_epochStart {};
    int m_exchangeCount { 0 };
    std::map<std::string, CustomerUsage> m_currentUsage; ///< `meanRate` converges to the mean.
    std::map<std::string, double> m_sentMeans;           ///< Values in the unanswered question.
    std::unordered_map<std::string, CustomerUsage> m_completedUsage;
    std::string m_lastSentCustomer;
};

} // namespace Lavenderpick
