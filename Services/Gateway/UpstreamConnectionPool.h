#pragma once

#include "Services/Gateway/HttpConnection.h"
#include "lavenderpick/Forward/LoadLedger.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace Lavenderpick {

/// Idle connections to upstreams, kept for reuse. New connections cost time and money, so the most
/// recently used connection is reused first.
///
/// An upstream resets connections above a limit that applies to all gateways together. The
/// connections not used by open requests are divided evenly among the gateways, and each gateway
/// keeps at most its share idle.
class UpstreamConnectionPool
{
public:
    UpstreamConnectionPool(asio::io_context &context, const Clock &clock, const LoadLedger &ledger)
        : m_context(context)
        , m_clock(clock)
        , m_ledger(ledger)
    { }

    /// The number of gateways that share the upstreams, this one included.
    void setGatewayCount(std::size_t count) { m_gatewayCount = count; }

    /// Returns an idle connection to the process `upstream` at `address`, or a new connection.
    std::shared_ptr<HttpConnection> acquire(const std::string &upstream,
                                            const std::string &address);

    /// Returns a new connection to the process at `address`.
    std::shared_ptr<HttpConnection> open(const std::string &address);

    /// Keeps the connection for the next request, or closes it. `maximumConnections` is the
    /// upstream's limit for all gateways together; zero means no limit.
    void release(const std::string &upstream, std::shared_ptr<HttpConnection> connection,
                 int maximumConnections);

    /// Closes idle connections that the peer has closed or is about to close, and the least
    /// recently used ones above this gateway's share.
    void trimIdleConnections(TimePoint now);

    void forget(const std::string &upstream) { m_idle.erase(upstream); }

    std::size_t idleCount(const std::string &upstream) const;

private:
    struct IdleConnections
    {
        std::deque<std::shared_ptr<HttpConnection>> connections; ///< Most recently used last.
        int maximumConnections { 0 };
    };

    void closeExcessConnections(const std::string &upstream, IdleConnections &idle) const;

    asio::io_context &m_context;
    const Clock &m_clock;
    const LoadLedger &m_ledger;
    std::size_t m_gatewayCount { 1 };
    std::map<std::string, IdleConnections> m_idle;
};

/// Returns how many idle connections each of `gatewayCount` gateways may keep to an upstream with
/// `openRequests` requests.
std::size_t idleConnectionShare(int maximumConnections, std::size_t openRequests,
                                std::size_t gatewayCount);

} // namespace Lavenderpick
