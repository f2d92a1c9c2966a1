#include "lavenderpick/Http/HttpClient.h"

#include "lavenderpick/Base/Error.h"

#include <charconv>
#include <httplib.h>

namespace Lavenderpick {

namespace {

constexpr int connectTimeoutSeconds = 1;
constexpr std::size_t maximumIdleConnections = 64;

// A process in trouble may send a status line whose status is none.
bool isFinalStatus(int status)
{
    constexpr int lowestFinalStatus = 200;
    constexpr int highestStatus = 599;
    return status >= lowestFinalStatus && status <= highestStatus;
}

bool sameHeaderName(const std::string &left, const std::string &right)
{
    return left.size() == right.size()
            && std::equal(left.begin(), left.end(), right.begin(),
                          [](unsigned char a, unsigned char b) {
                              return std::tolower(a) == std::tolower(b);
                          });
}

} // namespace

std::string HttpResponse::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (sameHeaderName(key, name))
            return value;
    }
    return {};
}

HttpClient::HttpClient(std::string address, const Clock &clock, Duration idleLimit)
    : m_address(std::move(address))
    , m_clock(clock)
    , m_idleLimit(idleLimit)
{ }

HttpClient::~HttpClient() = default;

HttpResponse HttpClient::send(const HttpRequest &request)
{
    auto client = takeIdle();
    HttpResponse response = exchange(*client, request, nullptr);
    giveBack(std::move(client));
    return response;
}

HttpResponse HttpClient::sendOnNewConnection(const HttpRequest &request)
{
    auto client = connect();
    HttpResponse response = exchange(*client, request, nullptr);
    giveBack(std::move(client));
    return response;
}

HttpResponse HttpClient::stream(const HttpRequest &request, const PieceReceiver &receiver)
{
    auto client = connect();
    return exchange(*client, request, &receiver);
}

std::unique_ptr<httplib::Client> HttpClient::connect() const
{
    const HostAndPort target = HostAndPort::parse(m_address);
    auto client = std::make_unique<httplib::Client>(target.host, target.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(connectTimeoutSeconds);
    return client;
}

void HttpClient::closeOldConnections()
{
    const TimePoint oldest = m_clock.now() - m_idleLimit;
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_idle,
                  [&](const IdleConnection &connection) { return connection.idleSince < oldest; });
}

std::unique_ptr<httplib::Client> HttpClient::takeIdle()
{
    closeOldConnections();
    const std::lock_guard lock(m_mutex);
    if (m_idle.empty())
        return connect();
    auto client = std::move(m_idle.back().client);
    m_idle.pop_back();
    return client;
}

void HttpClient::giveBack(std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < maximumIdleConnections)
        m_idle.push_back({ std::move(client), m_clock.now() });
}

HttpResponse HttpClient::exchange(httplib::Client &client, const HttpRequest &request,
                                  const PieceReceiver *receiver)
{
    const auto microseconds =
            std::chrono::duration_cast<std::chrono::microseconds>(request.timeout).count();
    client.set_read_timeout(microseconds / 1'000'000, microseconds % 1'000'000);
    client.set_write_timeout(microseconds / 1'000'000, microseconds % 1'000'000);

    httplib::Request message;
    message.method = request.method;
    message.path = request.path;
    message.body = request.body;
    for (const auto &[name, value] : request.headers)
        message.headers.emplace(name, value);
    if (!request.body.empty())
        message.set_header("Content-Type", request.contentType);

    int status = 0;
    std::string refusedBody;
    bool cancelled = false;
    if (receiver != nullptr) {
        message.response_handler = [&](const httplib::Response &response) {
            status = response.status;
            return true;
        };
        message.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                       std::uint64_t) {
            if (status != 200) {
                refusedBody.append(data, size);
                return true;
            }
            cancelled = !(*receiver)({ data, size });
            return !cancelled;
        };
    }

    const httplib::Result result = client.send(message);
    if (cancelled)
        return HttpResponse { .status = status };
    if (result && !isFinalStatus(result->status))
        throw Error(ErrorKind::UpstreamFailed,
                    m_address + " answered " + request.method + " " + request.path
                            + " with the invalid status " + std::to_string(result->status),
                    "The request may have run; look its outcome up.");
    if (result)
        return HttpResponse {
            .status = result->status,
            .body = receiver == nullptr ? result->body : refusedBody,
            .headers = HttpHeaders(result->headers.begin(), result->headers.end()),
        };
    const bool neverSent = result.error() == httplib::Error::Connection
            || result.error() == httplib::Error::BindIPAddress;
    const std::string failure = m_address + " did not answer " + request.method + " " + request.path
            + " (" + httplib::to_string(result.error()) + ")";
    if (neverSent)
        throw Error(ErrorKind::UpstreamUnavailable, failure,
                    "Check that the process runs and can be reached.");
    throw Error(ErrorKind::UpstreamFailed, failure,
                "The request may have run; look its outcome up.");
}

HttpClient &HttpClientPool::client(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    auto &client = m_clients[address];
    if (!client)
        client = std::make_unique<HttpClient>(address, m_clock);
    return *client;
}

void HttpClientPool::closeOldConnections()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[address, client] : m_clients)
        client->closeOldConnections();
}

HostAndPort HostAndPort::parse(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    int port = 0;
    if (colon != std::string::npos && colon > 0) {
        const char *end = address.data() + address.size();
        const auto [position, error] = std::from_chars(address.data() + colon + 1, end, port);
        if (error == std::errc() && position == end && port > 0 && port <= 65'535)
            return { .host = address.substr(0, colon), .port = port };
    }
    throw Error(ErrorKind::InvalidSettings, "'" + address + "' is not an address",
                "Write it as IP number and port, such as 10.0.0.5:7000.");
}

} // namespace Lavenderpick
