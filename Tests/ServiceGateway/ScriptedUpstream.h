#pragma once

#include "Services/Gateway/ByteStream.h"
#include "lavenderpick/Forward/HttpParser.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A request as the upstream received it.
struct ReceivedRequest
{
    RequestHead head;
    std::string body;

    std::string header(const std::string &name) const
    {
        const std::string *value = head.headers.find(name);
        return value == nullptr ? std::string() : *value;
    }
};

/// A connection to a `ScriptedUpstream`, through which its script responds.
class ScriptedConnection
{
public:
    virtual ~ScriptedConnection() = default;

    virtual void write(const std::string &bytes) = 0;
    virtual void close() = 0;

    /// Closes the connection in an orderly way after all written bytes have been sent.
    virtual void closeAfterOutput() = 0;

    /// Closes the connection with a TCP reset.
    virtual void reset() = 0;
    virtual bool isOpen() const = 0;
};

/// A fake upstream on loopback. A script is called for each request and may write any bytes at any
/// time.
class ScriptedUpstream
{
public:
    using Script = std::function<void(const ReceivedRequest &request,
                                      const std::shared_ptr<ScriptedConnection> &peer)>;

    ScriptedUpstream(asio::io_context &context, Script script);
    ~ScriptedUpstream();

    std::string address() const;
    const std::vector<ReceivedRequest> &received() const { return m_received; }
    std::size_t connectionCount() const { return m_connectionCount; }

    /// Closes the listening socket.
    void stopListening() { m_acceptor.close(); }

private:
    class Connection;

    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
    std::vector<ReceivedRequest> m_received;
    std::vector<std::shared_ptr<Connection>> m_acceptedConnections;
    std::size_t m_connectionCount { 0 };
};

} // namespace Lavenderpick
