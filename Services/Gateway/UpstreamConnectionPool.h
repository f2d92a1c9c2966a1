#pragma once

#include "Services/Gateway/HttpConnection.h"
#include "lavenderpick/Forward/LoadLedger.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace Lavenderpick {

/// Kept connections to upstreams. New ones cost time and money, so that the one that was used last
/// is used first.
///
/// An upstream resets connections beyond a number that all gateways share. What its open requests
/// leave free is divided among the gateways; each keeps no more than its share.
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

    /// An idle connection to the process `upstream` at `address`, or a new one.
    std::shared_ptr<HttpConnection> acquire(const std::string &upstream,
                                            const std::string &address);

    /// Keeps the connection for the next request, or closes it. `maximumConnections`: of the
    /// upstream, from all gateways; zero for no bound.
    void release(const std::string &upstream, std::shared_ptr<HttpConnection> connection,
                 int maximumConnections);

    /// Closes idle connections whose peer is about to close them, and those over the share.
    void trimIdleConnections(TimePoint now);

    void forget(const std::string &upstream) { m_idle.erase(upstream); }

    std::size_t idleCount(const std::string &upstream) const;

private:
    struct IdleConnections
    {
        std::deque<std::shared_ptr<HttpConnection>> connections; ///< Last used at the back.
        int maximumConnections { 0 };
    };

    void closeExcessConnections(const std::string &upstream, IdleConnections &idle) const;

    asio::io_context &m_context;
    const Clock &m_clock;
    const LoadLedger &m_ledger;
    std::size_t m_gatewayCount { 1 };
    std::map<std::string, IdleConnections> m_idle;
};

/// How many idle connections one of `gateways` may keep at an upstream with `open` requests.
std::size_t idleConnectionShare(int maximumConnections, std::size_t openRequests,
                                std::size_t gatewayCount);

} // namespace Lavenderpick
