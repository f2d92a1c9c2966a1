#include "lavenderpick/Upstream/OrderController.h"

namespace Lavenderpick {

namespace {

std::string orderKey(const EngineOrder &order)
{
    return order.kind + "/" + order.name + "/" + order.version;
}

} // namespace

void OrderController::observeFence(std::int64_t fence, TimePoint now)
{
    m_fenceCheckedAt = now;
    if (fence > m_fence)
        m_superseded = true;
}

void OrderController::setDesired(const DesiredEngineState &desired)
{
    if (m_hasDesired && desired.epoch < m_desired.epoch)
        return;
    m_desired = desired;
    m_hasDesired = true;
}

bool OrderController::mustCheckFence(TimePoint now) const
{
    return now - m_fenceCheckedAt > longestPause;
}

std::vector<EngineOrder> OrderController::ordersFor(const EngineState &observed, TimePoint now)
{
    if (m_fence == 0 || m_superseded || !m_hasDesired)
        return {};
    std::map<std::string, TimePoint> sentAt;
    std::vector<EngineOrder> due;
    for (const EngineOrder &order : differences(observed)) {
        const auto sent = m_sentAt.find(orderKey(order));
        const bool waiting = sent != m_sentAt.end() && now - sent->second < repeatAfter;
        sentAt[orderKey(order)] = waiting ? sent->second : now;
        if (!waiting)
            due.push_back(order);
    }
    // An order whose difference is gone may be sent at once when the difference returns.
    m_sentAt = std::move(sentAt);
    return due;
}

bool OrderController::isReached(const EngineState &observed) const
{
    return m_hasDesired && differences(observed).empty();
}

void OrderController::orderFailed(const EngineOrder &order)
{
    m_sentAt.erase(orderKey(order));
}

std::vector<EngineOrder> OrderController::differences(const EngineState &observed) const
{
    std::vector<EngineOrder> orders;
    addDifferences(m_desired.models, observed.models, "model", orders);
    addDifferences(m_desired.adapters, observed.adapters, "adapter", orders);
    if (!m_desired.role.empty() && m_desired.role != observed.role)
        orders.push_back(makeOrder("role", m_desired.role, ""));
    return orders;
}

EngineOrder OrderController::makeOrder(const std::string &kind, const std::string &name,
                                       const std::string &version) const
{
    return {
        .fence = m_fence, .epoch = m_desired.epoch, .kind = kind, .name = name, .version = version
    };
}

void OrderController::addDifferences(const std::map<std::string, std::string> &desired,
                                     const std::map<std::string, std::string> &observed,
                                     const std::string &thing,
                                     std::vector<EngineOrder> &orders) const
{
    for (const auto &[name, version] : desired) {
        const auto found = observed.find(name);
        if (found == observed.end() || found->second != version)
            orders.push_back(makeOrder("load_" + thing, name, version));
    }
    for (const auto &[name, version] : observed) {
        if (!desired.contains(name))
            orders.push_back(makeOrder("unload_" + thing, name, version));
    }
}

} // namespace Lavenderpick
