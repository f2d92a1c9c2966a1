#include "lavenderpick/Limits/FairQueue.h"

#include <algorithm>

namespace Lavenderpick {

FairQueue::FairQueue(const FairQueueSettings &settings)
    : m_settings(settings)
{ }

std::optional<QueuedRequest> FairQueue::push(const QueuedRequest &request)
{
    Flow &flow = m_flows[{ request.rank, request.customer }];
    if (flow.byDeadline.empty()) {
        flow.tag = std::max(flow.tag, m_virtualTime[request.rank]);
        m_order[request.rank].emplace(flow.tag, request.customer);
    }
    flow.byDeadline.emplace(request.deadline, request.id);
    m_requests.emplace(request.id, request);
    m_byAge.emplace(request.enqueued, request.id);
    m_byValue.emplace(request.rank, request.deadline, request.id);
    m_queuedCost += request.cost;
    if (m_requests.size() <= m_settings.maximumRequests)
        return std::nullopt;
    return take(std::get<std::uint64_t>(*m_byValue.rbegin()));
}

std::optional<QueuedRequest> FairQueue::pop(TimePoint now)
{
    if (m_requests.empty())
        return std::nullopt;
    ++m_turn;
    std::optional<std::uint64_t> id;
    if (m_turn % m_settings.agedTurn == 0)
        id = agedRequest(now);
    QueuedRequest request = take(id ? *id : fairRequest());
    charge(request);
    return request;
}

std::optional<std::uint64_t> FairQueue::agedRequest(TimePoint now) const
{
    const auto &[enqueued, id] = *m_byAge.begin();
    if (now - enqueued < m_settings.aging)
        return std::nullopt;
    return id;
}

std::uint64_t FairQueue::fairRequest() const
{
    const auto &[rank, flows] = *m_order.begin();
    const std::string &customer = flows.begin()->second;
    return m_flows.at({ rank, customer }).byDeadline.begin()->second;
}

void FairQueue::charge(const QueuedRequest &request)
{
    const FlowKey key { request.rank, request.customer };
    Flow &flow = m_flows[key];
    constexpr double minimumWeight = 1e-6;
    if (!flow.byDeadline.empty())
        m_order[request.rank].erase({ flow.tag, request.customer });
    double &virtualTime = m_virtualTime[request.rank];
    virtualTime = std::max(virtualTime, flow.tag);
    flow.tag += request.cost / std::max(minimumWeight, request.weight);
    if (!flow.byDeadline.empty())
        m_order[request.rank].emplace(flow.tag, request.customer);
    // An idle flow keeps its tag, so that a customer gains nothing by queueing one at a time.
    if (m_flows.size() > 2 * m_settings.maximumRequests)
        std::erase_if(m_flows, [](const auto &other) { return other.second.byDeadline.empty(); });
}

QueuedRequest FairQueue::take(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    QueuedRequest request = std::move(found->second);
    m_requests.erase(found);
    m_byAge.erase({ request.enqueued, id });
    m_byValue.erase({ request.rank, request.deadline, id });
    m_queuedCost = m_requests.empty() ? 0 : m_queuedCost - request.cost;
    Flow &flow = m_flows.at({ request.rank, request.customer });
    flow.byDeadline.erase({ request.deadline, id });
    if (flow.byDeadline.empty()) {
        auto &flows = m_order[request.rank];
        flows.erase({ flow.tag, request.customer });
        if (flows.empty())
            m_order.erase(request.rank);
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
