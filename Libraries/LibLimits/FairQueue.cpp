#include "lavenderpick/Limits/FairQueue.h"

#include <algorithm>

namespace Lavenderpick {

FairQueue::FairQueue(const FairQueueSettings &settings)
    : m_settings(settings)
{ }

std::optional<QueuedRequest> FairQueue::push(const QueuedRequest &request)
{
    Flow &flow = m_flows[{ request.priorityRank, request.customer }];
    if (flow.byDeadline.empty()) {
        flow.startTag = std::max(flow.startTag, m_virtualTimes[request.priorityRank]);
        m_flowsByTag[request.priorityRank].emplace(flow.startTag, request.customer);
    }
    flow.byDeadline.emplace(request.deadline, request.id);
    m_requests.emplace(request.id, request);
    m_byEnqueueTime.emplace(request.enqueuedAt, request.id);
    m_shedOrder.emplace(request.priorityRank, request.deadline, request.id);
    m_queuedCost += request.cost;
    if (m_requests.size() <= m_settings.maximumRequests)
        return std::nullopt;
    return take(std::get<std::uint64_t>(*m_shedOrder.rbegin()));
}

std::optional<QueuedRequest> FairQueue::pop(TimePoint now)
{
    if (m_requests.empty())
        return std::nullopt;
    ++m_turnCount;
    std::optional<std::uint64_t> id;
    if (m_turnCount % m_settings.agedTurnInterval == 0)
        id = nextAgedRequest(now);
    QueuedRequest request = take(id ? *id : nextFairRequest());
    advanceVirtualTime(request);
    return request;
}

std::optional<std::uint64_t> FairQueue::nextAgedRequest(TimePoint now) const
{
    const auto &[enqueuedAt, id] = *m_byEnqueueTime.begin();
    if (now - enqueuedAt < m_settings.ageingTime)
        return std::nullopt;
    return id;
}

std::uint64_t FairQueue::nextFairRequest() const
{
    const auto &[priorityRank, flows] = *m_flowsByTag.begin();
    const std::string &customer = flows.begin()->second;
    return m_flows.at({ priorityRank, customer }).byDeadline.begin()->second;
}

void FairQueue::advanceVirtualTime(const QueuedRequest &request)
{
    const FlowKey key { request.priorityRank, request.customer };
    Flow &flow = m_flows[key];
    constexpr double minimumWeight = 1e-6;
    if (!flow.byDeadline.empty())
        m_flowsByTag[request.priorityRank].erase({ flow.startTag, request.customer });
    double &virtualTime = m_virtualTimes[request.priorityRank];
    virtualTime = std::max(virtualTime, flow.startTag);
    flow.startTag += request.cost / std::max(minimumWeight, request.weight);
    if (!flow.byDeadline.empty())
        m_flowsByTag[request.priorityRank].emplace(flow.startTag, request.customer);
    // An empty flow keeps its start tag, so that queueing one request at a time is no advantage.
    if (m_flows.size() > 2 * m_settings.maximumRequests)
        std::erase_if(m_flows, [](const auto &other) { return other.second.byDeadline.empty(); });
}

QueuedRequest FairQueue::take(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    QueuedRequest request = std::move(found->second);
    m_requests.erase(found);
    m_byEnqueueTime.erase({ request.enqueuedAt, id });
    m_shedOrder.erase({ request.priorityRank, request.deadline, id });
    m_queuedCost = m_requests.empty() ? 0 : m_queuedCost - request.cost;
    Flow &flow = m_flows.at({ request.priorityRank, request.customer });
    flow.byDeadline.erase({ request.deadline, id });
    if (flow.byDeadline.empty()) {
        auto &flows = m_flowsByTag[request.priorityRank];
        flows.erase({ flow.startTag, request.customer });
        if (flows.empty())
            m_flowsByTag.erase(request.priorityRank);
    }
    return request;
}

std::vector<QueuedRequest> FairQueue::expire(TimePoint now)
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, request] : m_requests) {
        if (request.deadline <= now)
            ids.push_back(id);
    }
    std::vector<QueuedRequest> expired;
    expired.reserve(ids.size());
    for (const std::uint64_t id : ids)
        expired.push_back(take(id));
    return expired;
}

bool FairQueue::remove(std::uint64_t id)
{
    if (!m_requests.contains(id))
        return false;
    take(id);
    return true;
}

} // namespace Lavenderpick
