#pragma once

#include "Services/Gateway/ByteStream.h"
#include "lavenderpick/Forward/HttpParser.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Lavenderpick {

struct LocalResponse
{
    int status { 200 };
    std::string contentType { "application/json" };
    std::string body {};
};

/// Serves short GET requests for readiness, metrics and peers on the event loop.
class LocalHttpServer
{
public:
    /// `target` is the request's path and query.
    using Handler = std::function<LocalResponse(const std::string &target)>;

    /// Throws `Error` of kind InvalidSettings when the address can't be bound.
    LocalHttpServer(asio::io_context &context, const std::string &address, Handler handler);
    ~LocalHttpServer();

private:
    class Connection;

    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::set<std::shared_ptr<Connection>> m_connections;
};

/// Binds and listens. Throws `Error` of kind InvalidSettings.
asio::ip::tcp::acceptor listenOn(asio::io_context &context, const std::string &address);

} // namespace Lavenderpick
