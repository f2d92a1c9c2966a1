#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace httplib {
class Client;
}

namespace Lavenderpick {

using HttpHeaders = std::multimap<std::string, std::string>;

struct HttpRequest
{
    std::string method;
    std::string path;
    std::string body {};
    HttpHeaders headers {};
    std::string contentType { "application/json" };
    Duration timeout { Seconds(
            2) }; ///< Longest silence of the peer, also between pieces of a stream.
};

struct HttpResponse
{
    int status { 0 };
    std::string body {};
    HttpHeaders headers {};

    /// The first value of the header, or empty.
    std::string header(const std::string &name) const;
};

/// Receives a piece of a streamed body with status 200; returns false to cancel.
using PieceReceiver = std::function<bool(std::string_view piece)>;

/// Connections to one peer, reused while they are young.
///
/// Every call throws `Error`: kind UpstreamUnavailable when the request can't have reached the
/// peer, kind UpstreamFailed when it may have. Safe for concurrent use.
class HttpClient
{
public:
    /// `address` is `host:port`. A connection idle for longer than `idleLimit` is not trusted
    /// again.
    HttpClient(std::string address, const Clock &clock, Duration idleLimit = Seconds(3));
    ~HttpClient();

    const std::string &address() const { return m_address; }

    HttpResponse send(const HttpRequest &request);

    /// Like `send`, on a new connection, so that a connection that fell silent can't be involved.
    HttpResponse sendOnNewConnection(const HttpRequest &request);

    /// Streams the body of a 200 answer to `receiver`; other answers are returned with their body.
    /// Returns normally when the stream ended or the receiver cancelled.
    HttpResponse stream(const HttpRequest &request, const PieceReceiver &receiver);

    /// Closes the connections that are not trusted any more.
    void closeOldConnections();

private:
    struct IdleConnection
    {
        std::unique_ptr<httplib::Client> client;
        TimePoint idleSince;
    };

    std::unique_ptr<httplib::Client> connect() const;
    std::unique_ptr<httplib::Client> takeIdle();
    void giveBack(std::unique_ptr<httplib::Client> client);
    HttpResponse exchange(httplib::Client &client, const HttpRequest &request,
                          const PieceReceiver *receiver);

    std::string m_address;
    const Clock &m_clock;
    Duration m_idleLimit;
    std::mutex m_mutex;
    std::vector<IdleConnection> m_idle;
};

/// Clients by address. Safe for concurrent use; a client stays valid for the pool's life.
class HttpClientPool
{
public:
    explicit HttpClientPool(const Clock &clock)
        : m_clock(clock)
    { }

    HttpClient &client(const std::string &address);

    /// Closes idle connections to all peers. Call it every few seconds: peers that are replaced are
    /// never asked again, and would keep their connections.
    void closeOldConnections();

private:
    const Clock &m_clock;
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<HttpClient>> m_clients;
};

/// Host and port of `address`; throws `Error` of kind InvalidSettings.
struct HostAndPort
{
    std::string host;
    int port { 0 };

    bool operator==(const HostAndPort &) const = default;

    static HostAndPort parse(const std::string &address);
};

} // namespace Lavenderpick
