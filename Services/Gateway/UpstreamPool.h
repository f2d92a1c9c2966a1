#pragma once

#include "Services/Gateway/HttpConnection.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Kept connections to upstreams. New ones cost time and money, so that the one that was used last
/// is used first.
///
/// FIXME: The bound on connections at an upstream is not applied; a gateway opens as many as it has
/// requests there, which placement keeps near the upstream's places.
class UpstreamPool
{
public:
    UpstreamPool(asio::io_context &context, const Clock &clock)
        : m_context(context)
        , m_clock(clock)
    { }

    /// An idle connection to the process `upstream` at `address`, or a new one.
    std::shared_ptr<HttpConnection> take(const std::string &upstream, const std::string &address);

    /// Keeps the connection for the next request, or closes it.
    void giveBack(const std::string &upstream, std::shared_ptr<HttpConnection> connection);

    /// Closes idle connections whose peer is about to close them.
    void closeIdle(TimePoint now);

    void forget(const std::string &upstream) { m_idle.erase(upstream); }

    std::uint64_t opened() const { return m_opened; }

private:
    asio::io_context &m_context;
    const Clock &m_clock;
    std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> m_idle;
    std::uint64_t m_opened { 0 };
};

} // namespace Lavenderpick
