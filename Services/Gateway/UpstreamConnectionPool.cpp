#include "Services/Gateway/UpstreamConnectionPool.h"

#include <algorithm>

namespace Lavenderpick {

std::size_t idleConnectionShare(int maximumConnections, std::size_t openRequests,
                                std::size_t gatewayCount)
{
    const auto maximum = static_cast<std::size_t>(std::max(0, maximumConnections));
    return openRequests >= maximum
            ? 0
            : (maximum - openRequests) / std::max<std::size_t>(1, gatewayCount);
}

std::shared_ptr<HttpConnection> UpstreamConnectionPool::acquire(const std::string &upstream,
                                                                const std::string &address)
{
    const auto found = m_idle.find(upstream);
    while (found != m_idle.end() && !found->second.connections.empty()) {
        std::shared_ptr<HttpConnection> connection = std::move(found->second.connections.back());
        found->second.connections.pop_back();
        if (connection->isReusable(m_clock.now()) && connection->address() == address) {
            connection->setLimits({});
            return connection;
        }
        connection->abandon();
    }
    return open(address);
}

std::shared_ptr<HttpConnection> UpstreamConnectionPool::open(const std::string &address)
{
    return std::make_shared<HttpConnection>(m_context, m_clock, address);
}

void UpstreamConnectionPool::release(const std::string &upstream,
                                     std::shared_ptr<HttpConnection> connection,
                                     int maximumConnections)
{
    if (!connection->isReusable(m_clock.now())) {
        connection->abandon();
        return;
    }
    IdleConnections &idle = m_idle[upstream];
    idle.maximumConnections = maximumConnections;
    idle.connections.push_back(std::move(connection));
    closeExcessConnections(upstream, idle);
}

void UpstreamConnectionPool::trimIdleConnections(TimePoint now)
{
    for (auto &[upstream, idle] : m_idle) {
        std::erase_if(idle.connections, [now](const std::shared_ptr<HttpConnection> &connection) {
            if (connection->isReusable(now))
                return false;
            connection->abandon();
            return true;
        });
        closeExcessConnections(upstream, idle);
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.connections.empty(); });
}

void UpstreamConnectionPool::closeExcessConnections(const std::string &upstream,
                                                    IdleConnections &idle) const
{
    if (idle.maximumConnections == 0)
        return;
    const std::size_t share = idleConnectionShare(
            idle.maximumConnections, m_ledger.load(upstream).open().size(), m_gatewayCount);
    while (idle.connections.size() > share) {
        idle.connections.front()->abandon();
        idle.connections.pop_front();
    }
}

std::size_t UpstreamConnectionPool::idleCount(const std::string &upstream) const
{
    const auto found = m_idle.find(upstream);
    return found == m_idle.end() ? 0 : found->second.connections.size();
}

} // namespace Lavenderpick
