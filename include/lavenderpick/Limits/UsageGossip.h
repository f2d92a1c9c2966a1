#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Protocol/Datagrams.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Lavenderpick {

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
    /// Returns this entry's rates of the customers near their budget.
    using LocalRates = std::function<std::map<std::string, double>()>;

    explicit UsageGossip(Duration epoch = Seconds(10), std::size_t maximumCustomers = 1'024);

    /// Starts the next epoch when it is time.
    void advance(TimePoint now, const LocalRates &localRates);

    /// Fills a datagram with as many customers as fit, in rotation.
    void fill(Gossip &gossip);

    /// Merges a peer's datagram of the same epoch. `answer` is null for an answer, else it gets the
    /// values of before for the same customers.
    void merge(const Gossip &received, Gossip *answer, TimePoint now, const LocalRates &localRates);

    /// Mean rate per entry in the last complete epoch; nothing when the customer was not near its
    /// budget anywhere.
    std::optional<double> mean(const std::string &customer) const;

    /// Bytes of customer names and rates in one datagram; the rest is left to the other fields.
    static constexpr std::size_t maximumUsageBytes = 900;

private:
    void start(std::int64_t epoch, TimePoint now, const LocalRates &localRates);

    Duration m_epochDuration;
    std::size_t m_maximumCustomers;
    std::int64_t m_epoch { 0 };
    TimePoint m_epochStart {};
    int m_exchanges { 0 };
    std::map<std::string, double> m_current;
    std::map<std::string, double> m_sent; ///< Values in the question under way.
    std::unordered_map<std::string, double> m_complete;
    std::string m_rotation; ///< Last customer sent.
};

} // namespace Lavenderpick
