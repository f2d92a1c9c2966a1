#include "Services/Gateway/UpstreamPool.h"

#include <algorithm>

namespace Lavenderpick {

std::size_t idleConnectionShare(int maximumConnections, std::size_t open, std::size_t gateways)
{
    const auto maximum = static_cast<std::size_t>(std::max(0, maximumConnections));
    return open >= maximum ? 0 : (maximum - open) / std::max<std::size_t>(1, gateways);
}

std::shared_ptr<HttpConnection> UpstreamPool::take(const std::string &upstream,
                                                   const std::string &address)
{
    const auto found = m_idle.find(upstream);
    while (found != m_idle.end() && !found->second.connections.empty()) {
        std::shared_ptr<HttpConnection> connection = std::move(found->second.connections.back());
        found->second.connections.pop_back();
        if (connection->isReusable(m_clock.now()) && connection->address() == address)
            return connection;
        connection->abandon();
    }
    return std::make_shared<HttpConnection>(m_context, m_clock, address);
}

void UpstreamPool::giveBack(const std::string &upstream, std::shared_ptr<HttpConnection> connection,
                            int maximumConnections)
{
    if (!connection->isReusable(m_clock.now())) {
        connection->abandon();
        return;
    }
    Idle &idle = m_idle[upstream];
    idle.maximumConnections = maximumConnections;
    idle.connections.push_back(std::move(connection));
    closeOverShare(upstream, idle);
}

void UpstreamPool::closeIdle(TimePoint now)
{
    for (auto &[upstream, idle] : m_idle) {
        std::erase_if(idle.connections, [now](const std::shared_ptr<HttpConnection> &connection) {
            if (connection->isReusable(now))
                return false;
            connection->abandon();
            return true;
        });
        closeOverShare(upstream, idle);
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.connections.empty(); });
}

void UpstreamPool::closeOverShare(const std::string &upstream, Idle &idle) const
{
    if (idle.maximumConnections == 0)
        return;
    const std::size_t share = idleConnectionShare(
            idle.maximumConnections, m_ledger.load(upstream).open().size(), m_gateways);
    while (idle.connections.size() > share) {
        idle.connections.front()->abandon();
        idle.connections.pop_front();
    }
}

std::size_t UpstreamPool::idleCount(const std::string &upstream) const
{
    const auto found = m_idle.find(upstream);
    return found == m_idle.end() ? 0 : found->second.connections.size();
}

} // namespace Lavenderpick
