#pragma once

#include "lavenderpick/Forward/CustomerWork.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Lavenderpick {

/// A request that waits for capacity.
struct CompetingRequest
{
    std::string service;
    std::string customer; ///< Empty for callers without one, who count as one customer.
    int urgency { 0 };    ///< 0 is served first.
    TimePoint arrivedAt {};
    TimePoint latestStart {}; ///< When it must be placed to be on time.

    bool operator==(const CompetingRequest &) const = default;
};

/// Orders the requests that wait at one gateway while capacity is scarce: by urgency, then
/// customers below their share of the work before those above it, then by latest start.
///
/// Load: one customer sends many times its share, so that the requests of all others wait behind
/// its; or long prompts of low urgency would wait until they are late. A customer above twice its
/// share yields to the others of its urgency while these wait, and is served like any other when
/// none does. Requests of the other customers that are due soon are ordered by latest start alone,
/// so that none is overtaken until it is late. Customers above twice their share are excepted: in a
/// lasting overload some of their requests are always due and would go first. Not safe for
/// concurrent use.
class FairOrder
{
public:
    /// From this long before its latest start a request is ordered by it alone. At most half of the
    /// time that the request may wait: short prompts may wait for less than a second in all, and
    /// would else never be ordered by urgency or share.
    static constexpr Duration dueTime { Seconds(1) };
    static constexpr Duration scarcityTime { Seconds(1) };
    static constexpr double yieldingShare = 2;

    void recordRequest(const std::string &service, const std::string &customer, TimePoint now);
    void recordWork(const std::string &service, const std::string &customer, double prefillMs,
                    TimePoint now);

    /// Call when a request of the service waits or is rejected for lack of capacity.
    void recordShortage(const std::string &service, TimePoint now);
    bool isScarce(const std::string &service, TimePoint now) const;

    /// See `CustomerWork::shareUsed`.
    double shareUsed(const std::string &service, const std::string &customer, TimePoint now);

    void add(std::uint64_t id, const CompetingRequest &request);
    void remove(std::uint64_t id);

    /// Ids of all waiting requests, the first to be served first.
    std::vector<std::uint64_t> inOrder(TimePoint now);

    /// Whether the request, which does not wait now, has to wait although it could be placed,
    /// because its customer is above twice its share and others wait.
    bool mustYield(const CompetingRequest &request, TimePoint now);

private:
    struct Service
    {
        CustomerWork work;
        TimePoint scarceUntil {};
        std::map<std::pair<int, std::string>, std::size_t> waiting; ///< By urgency and customer.
    };

    static bool isDue(const CompetingRequest &request, TimePoint now);
    static int shareRank(double shareUsed);

    std::unordered_map<std::string, Service> m_services;
    std::map<std::uint64_t, CompetingRequest> m_requests;
};

} // namespace Lavenderpick
