#pragma once

#include "lavenderpick/Base/Metrics.h"
#include "lavenderpick/Base/Problem.h"

#include <httplib.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>

namespace Lavenderpick {

/// Caps of an HTTP server. The library's own defaults leave body and waiting connections unbounded.
struct HttpServerLimits
{
    std::size_t threads { 600 };            ///< Open requests; an open stream holds one thread.
    std::size_t waitingConnections { 256 }; ///< Accepted connections without a thread.
    std::size_t bodyBytes { 16 * 1024 * 1024 };
    std::size_t headerBytes { 16 * 1024 }; ///< All headers together.
    int idleSeconds { 5 };                 ///< An idle connection is closed after this time.
    int readSeconds { 10 };                ///< Longest wait for more bytes of a request.

    bool operator==(const HttpServerLimits &) const = default;
};

/// A cpp-httplib server with caps, a bounded queue and problem-details errors.
///
/// Routes are added to `routes()` before `start`. A handler may throw `ProblemError`, which is
/// answered and counted, or `Error` of kind InvalidMessage, which becomes 400.
class HttpServer
{
public:
    HttpServer(const HttpServerLimits &limits, Metrics &metrics);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    httplib::Server &routes() { return m_server; }

    /// Binds `host` and `port` (0 picks a port) and serves in a thread. Returns the port.
    /// Throws `Error` of kind InvalidSettings when the address can't be bound.
    int start(const std::string &host, int port);

    /// Stops accepting, waits for running handlers and joins the thread.
    void stop();

private:
    /// The library listens with room for five connections; a burst above that would wait for a
    /// second until the peer's kernel tries again.
    class ListeningServer : public httplib::Server
    {
    public:
        void widenBacklog(int connections);
    };

    void installErrorHandlers(const HttpServerLimits &limits);

    Metrics &m_metrics;
    ListeningServer m_server;
    std::thread m_thread;
};

void answerJson(httplib::Response &response, int status, const nlohmann::json &json);
void answerProblem(httplib::Response &response, const Problem &problem);

} // namespace Lavenderpick
