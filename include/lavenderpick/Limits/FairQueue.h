#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Lavenderpick {

struct QueuedRequest
{
    std::uint64_t id { 0 }; ///< Chosen by the caller, unique in the queue.
    std::string customer;
    double weight { 1 };
    int priorityRank { 0 }; ///< 0 is served first and shed last.
    double cost { 0 };      ///< Predicted engine seconds.
    TimePoint deadline {};
    TimePoint enqueuedAt {};

    bool operator==(const QueuedRequest &) const = default;
};

struct FairQueueSettings
{
    std::size_t maximumRequests { 256 };
    Duration ageingTime { Seconds(10) }; ///< Waiting time after which a request counts as aged.
    int agedTurnInterval { 4 };          ///< An aged request goes first in every n-th `pop`.
};

/// A bounded queue, ordered by priority rank, then by weighted fair queueing over customers, then
/// by earliest deadline. At intervals the longest waiting request is served first if it has aged,
/// so that no request starves. Not safe for concurrent use.
class FairQueue
{
public:
    explicit FairQueue(const FairQueueSettings &settings = {});

    /// Adds the request. When the queue is full, removes and returns the request of the lowest
    /// priority with the latest deadline, which can be the new one.
    std::optional<QueuedRequest> push(const QueuedRequest &request);

    /// Removes and returns the next request. Call `expire` first, so that no request past its
    /// deadline is returned.
    std::optional<QueuedRequest> pop(TimePoint now);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<QueuedRequest> expire(TimePoint now);

    /// Returns false when the request is not queued.
    bool remove(std::uint64_t id);

    std::size_t size() const { return m_requests.size(); }
    double queuedCost() const { return m_queuedCost; }

private:
    struct Flow
    {
        double startTag { 0 }; ///< Start tag, in virtual time, of the flow's next request.
        std::set<std::pair<TimePoint, std::uint64_t>> byDeadline;
    };
    using FlowKey = std::pair<int, std::string>; ///< Priority rank and customer.

    QueuedRequest take(std::uint64_t id);
    std::optional<std::uint64_t> nextAgedRequest(TimePoint now) const;
    std::uint64_t nextFairRequest() const;
    void advanceVirtualTime(const QueuedRequest &request);

    FairQueueSettings m_settings;
    std::map<std::uint64_t, QueuedRequest> m_requests;
    std::map<FlowKey, Flow> m_flows;
    /// Per priority rank, customers with requests by start tag.
    std::map<int, std::set<std::pair<double, std::string>>> m_flowsByTag;
    std::set<std::pair<TimePoint, std::uint64_t>> m_byEnqueueTime;
    std::set<std::tuple<int, TimePoint, std::uint64_t>> m_shedOrder; ///< The last is shed first.
    std::map<int, double> m_virtualTimes;
    double m_queuedCost { 0 };
    int m_turnCount { 0 };
};

} // namespace Lavenderpick
