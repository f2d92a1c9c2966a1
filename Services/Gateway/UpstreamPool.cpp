#include "Services/Gateway/UpstreamPool.h"

namespace Lavenderpick {

std::shared_ptr<HttpConnection> UpstreamPool::take(const std::string &upstream,
                                                   const std::string &address)
{
    std::vector<std::shared_ptr<HttpConnection>> &idle = m_idle[upstream];
    while (!idle.empty()) {
        std::shared_ptr<HttpConnection> connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isReusable(m_clock.now()) && connection->address() == address)
            return connection;
        connection->abandon();
    }
    ++m_opened;
    return std::make_shared<HttpConnection>(m_context, m_clock, address);
}

void UpstreamPool::giveBack(const std::string &upstream, std::shared_ptr<HttpConnection> connection)
{
    if (connection->isReusable(m_clock.now()))
        m_idle[upstream].push_back(std::move(connection));
    else
        connection->abandon();
}

void UpstreamPool::closeIdle(TimePoint now)
{
    for (auto &[upstream, idle] : m_idle) {
        std::erase_if(idle, [now](const std::shared_ptr<HttpConnection> &connection) {
            if (connection->isReusable(now))
                return false;
            connection->abandon();
            return true;
        });
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace Lavenderpick
