#include "Services/Gateway/WaitingRequests.h"

namespace Lavenderpick {

std::uint64_t WaitingRequests::add(WaitingRequest &request, const CompetingRequest &competing)
{
    const std::uint64_t id = ++m_lastId;
    m_queue.add(id, competing.latestStart);
    if (m_order != nullptr)
        m_order->add(id, competing);
    m_requests[id] = &request;
    schedule();
    return id;
}

void WaitingRequests::remove(std::uint64_t id)
{
    m_queue.remove(id);
    if (m_order != nullptr)
        m_order->remove(id);
    m_requests.erase(id);
}

void WaitingRequests::schedule()
{
    if (m_scheduled || m_queue.isEmpty())
        return;
    m_scheduled = true;
    m_timer.expires_after(retryPeriod);
    m_timer.async_wait([this](const asio::error_code &error) {
        m_scheduled = false;
        if (error)
            return;
        const EventLoopTurns::Activity activity(m_turns, "waiting_requests");
        retryPlacements();
        schedule();
    });
}

void WaitingRequests::retryPlacements()
{
    const std::vector<std::uint64_t> ids =
            m_order != nullptr ? m_order->inOrder(m_clock.now()) : m_queue.inOrder();
    for (const std::uint64_t id : ids) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue; // Removed while an earlier request was retried.
        WaitingRequest *request = found->second;
        remove(id);
        request->retryPlacement();
    }
}

} // namespace Lavenderpick
