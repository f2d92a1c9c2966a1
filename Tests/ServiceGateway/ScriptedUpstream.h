#pragma once

#include "Services/Gateway/ByteStream.h"
#include "lavenderpick/Forward/HttpParser.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A request as an upstream got it.
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

/// One connection to a `ScriptedUpstream`, for scripts.
class ScriptedConnection
{
public:
    virtual ~ScriptedConnection() = default;

    virtual void write(const std::string &bytes) = 0;
    virtual void close() = 0;

    /// Closes in order once all that was written has left.
    virtual void closeAfterOutput() = 0;
    virtual bool isOpen() const = 0;
};

/// A stand-in for an upstream on loopback: a script answers each request with whatever bytes it
/// likes, at any time.
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
