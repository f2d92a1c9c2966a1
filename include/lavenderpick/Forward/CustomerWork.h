#pragma once

#include "lavenderpick/Base/Clock.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace Lavenderpick {

/// The work that each customer was given in the last 10 s. Not safe for concurrent use.
class CustomerWork
{
public:
    static constexpr Duration window { Seconds(10) };

    void recordRequest(const std::string &customer, TimePoint now);
    void recordWork(const std::string &customer, double prefillMs, TimePoint now);

    /// A customer's work relative to an equal part for all customers that had requests; 1 if it has
    /// just that, 0 without any work.
    double shareUsed(const std::string &customer, TimePoint now);

private:
    static constexpr Duration bucketDuration { Milliseconds(500) };

    struct Total
    {
        double workMs { 0 };
        int buckets { 0 }; ///< Those in which it occurs.
    };
    struct Bucket
    {
        TimePoint start {};
        std::unordered_map<std::string, double> workMs;
    };

    void expire(TimePoint now);
    void add(const std::string &customer, double workMs, TimePoint now);

    std::deque<Bucket> m_buckets;
    std::unordered_map<std::string, Total> m_totals;
    double m_workMs { 0 };
};

} // namespace Lavenderpick
