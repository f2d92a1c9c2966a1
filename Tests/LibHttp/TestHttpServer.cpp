#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Http/HttpClient.h"
#include "lavenderpick/Http/HttpServer.h"
#include "lavenderpick/Http/MessageAuthenticator.h"
#include "lavenderpick/Http/ServerSentEvents.h"

#include <asio.hpp>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Lavenderpick;

namespace {

struct RunningServer
{
    explicit RunningServer(const HttpServerLimits &limits)
        : server(limits, metrics)
    {
        server.routes().Post("/echo",
                             [](const httplib::Request &request, httplib::Response &response) {
                                 response.set_content(request.body, "text/plain");
                             });
        server.routes().Get("/hold", [this](const httplib::Request &, httplib::Response &) {
            ++held;
            while (!released)
                std::this_thread::sleep_for(Milliseconds(1));
        });
        server.routes().Get("/refuse", [](const httplib::Request &, httplib::Response &) {
            throw ProblemError({ .reason = RefusalReason::QueueFull,
                                 .detail = "Wait.",
                                 .retryAfterSeconds = 2 });
        });
        port = server.start("127.0.0.1", 0);
    }

    ~RunningServer() { released = true; }

    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    Metrics metrics;
    HttpServer server;
    std::atomic<int> held { 0 };
    std::atomic<bool> released { false };
    int port { 0 };
    SystemClock clock;
};

} // namespace

// Guards against an answer with a status such as 000, which a caller got as the service's own.
BOOST_AUTO_TEST_CASE(an_answer_without_a_final_status_is_a_failure)
{
    const SystemClock clock;
    for (const char *status : { "000", "099", "101", "199", "600", "999" }) {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        std::thread service([&] {
            asio::ip::tcp::socket socket = acceptor.accept();
            std::string request;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
            asio::write(socket,
                        asio::buffer("HTTP/1.1 " + std::string(status)
                                     + " X\r\nContent-Length: 2\r\n\r\nno"));
        });
        HttpClient client("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), clock);
        BOOST_CHECK_EXCEPTION(
                client.send({ .method = "GET", .path = "/" }), Error,
                [](const Error &error) { return error.kind() == ErrorKind::UpstreamFailed; });
        service.join();
    }
}

// Guards against two processes that share one port unnoticed, so that each gets a part of the
// other's requests.
BOOST_AUTO_TEST_CASE(a_port_in_use_is_refused)
{
    RunningServer running({});
    Metrics metrics;
    HttpServer second({}, metrics);
    BOOST_CHECK_EXCEPTION(second.start("127.0.0.1", running.port), Error, [](const Error &error) {
        return error.kind() == ErrorKind::InvalidSettings;
    });
}

// Guards against an unbounded body taking the process's memory.
BOOST_AUTO_TEST_CASE(body_over_the_cap_gets_a_problem)
{
    RunningServer running({ .bodyBytes = 1000 });
    HttpClient client(running.address(), running.clock);
    BOOST_TEST(client.send({ .method = "POST", .path = "/echo", .body = std::string(1000, 'x') })
                       .status
               == 200);
    const HttpResponse refused = client.sendOnNewConnection(
            { .method = "POST", .path = "/echo", .body = std::string(1001, 'x') });
    BOOST_TEST(refused.status == 413);
    BOOST_TEST((Problem::parse(parseJson(refused.body, "problem")).reason
                == RefusalReason::BodyTooLarge));
    BOOST_TEST(running.metrics.counter("lavenderpick_refusals_total", "reason=\"body_too_large\"")
               == 1);
}

// Guards against headers that grow without bound.
BOOST_AUTO_TEST_CASE(headers_over_the_cap_get_a_problem)
{
    RunningServer running({ .headerBytes = 500 });
    HttpClient client(running.address(), running.clock);
    const HttpResponse refused =
            client.send({ .method = "POST",
                          .path = "/echo",
                          .body = "x",
                          .headers = { { "X-Long", std::string(600, 'x') } } });
    BOOST_TEST(refused.status == 400);
}

// Guards against connections that queue without bound behind long streams.
BOOST_AUTO_TEST_CASE(connections_over_the_caps_are_refused_at_once)
{
    RunningServer running({ .threads = 2, .waitingConnections = 0 });
    std::vector<std::thread> holders;
    for (int count = 0; count < 2; ++count)
        holders.emplace_back([&] {
            HttpClient(running.address(), running.clock)
                    .send({ .method = "GET", .path = "/hold", .timeout = Seconds(30) });
        });
    while (running.held < 2)
        std::this_thread::sleep_for(Milliseconds(1));
    HttpClient client(running.address(), running.clock);
    const HttpResponse refused = client.send({ .method = "POST", .path = "/echo", .body = "x" });
    BOOST_TEST(refused.status == 429);
    BOOST_TEST(refused.header("Retry-After") == "1");
    running.released = true;
    for (std::thread &holder : holders)
        holder.join();
}

// Guards against bursts of connections that wait a second for a retransmitted SYN.
BOOST_AUTO_TEST_CASE(burst_of_connections_is_not_delayed)
{
    RunningServer running({ .threads = 1, .waitingConnections = 0 });
    asio::io_context context;
    const asio::ip::tcp::endpoint server(asio::ip::make_address("127.0.0.1"),
                                         static_cast<std::uint16_t>(running.port));
    std::vector<asio::ip::tcp::socket> sockets;
    int connected = 0;
    for (int number = 0; number < 100; ++number)
        sockets.emplace_back(context);
    for (asio::ip::tcp::socket &socket : sockets)
        socket.async_connect(server,
                             [&](const std::error_code &error) { connected += error ? 0 : 1; });
    context.run_for(Milliseconds(500));
    BOOST_TEST(connected == 100);
    for (asio::ip::tcp::socket &socket : sockets)
        socket.close();
}

// Guards against a refusal that is answered but not counted.
BOOST_AUTO_TEST_CASE(thrown_problem_is_answered_and_counted)
{
    RunningServer running(HttpServerLimits {});
    HttpClient client(running.address(), running.clock);
    const HttpResponse refused = client.send({ .method = "GET", .path = "/refuse" });
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.header("content-type") == "application/problem+json");
    BOOST_TEST(running.metrics.counter("lavenderpick_refusals_total", "reason=\"queue_full\"")
               == 1);
}

// Guards against calling a request "may have run" when no connection existed.
BOOST_AUTO_TEST_CASE(refused_connection_is_told_apart_from_a_silent_peer)
{
    RunningServer running(HttpServerLimits {});
    HttpClient client(running.address(), running.clock);
    const auto isKind = [](ErrorKind kind) {
        return [kind](const Error &error) { return error.kind() == kind; };
    };
    BOOST_CHECK_EXCEPTION(
            client.send({ .method = "GET", .path = "/hold", .timeout = Milliseconds(50) }), Error,
            isKind(ErrorKind::UpstreamFailed));
    running.released = true;
    running.server.stop();
    BOOST_CHECK_EXCEPTION(client.sendOnNewConnection({ .method = "GET", .path = "/hold" }), Error,
                          isKind(ErrorKind::UpstreamUnavailable));
}

// Guards against a replayed, altered or foreign message between processes.
BOOST_AUTO_TEST_CASE(authenticator_refuses_altered_and_old_messages)
{
    ManualClock clock;
    const MessageAuthenticator ours("key", clock);
    const std::string header = ours.sign("POST", "/internal/calls", "{}");
    BOOST_CHECK_NO_THROW(ours.verify("POST", "/internal/calls", "{}", header));
    BOOST_CHECK_THROW(ours.verify("POST", "/internal/calls", "{ }", header), Error);
    BOOST_CHECK_THROW(ours.verify("GET", "/internal/calls", "{}", header), Error);
    BOOST_CHECK_THROW(ours.verify("POST", "/internal/calls", "{}", "x:" + header), Error);
    BOOST_CHECK_THROW(
            MessageAuthenticator("other", clock).verify("POST", "/internal/calls", "{}", header),
            Error);
    clock.advance(Seconds(120));
    BOOST_CHECK_THROW(ours.verify("POST", "/internal/calls", "{}", header), Error);
}

// Guards against events that are lost or doubled when the network splits them anywhere.
BOOST_AUTO_TEST_CASE(event_parser_accepts_any_split)
{
    const std::string bytes = formatServerSentEvent("one") + std::string(serverSentEventHeartbeat)
            + formatServerSentEvent("two");
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
        ServerSentEventParser parser;
        std::vector<std::string> events;
        const auto collect = [&](std::string_view data) {
            events.emplace_back(data);
            return true;
        };
        parser.feed(std::string_view(bytes).substr(0, split), collect);
        parser.feed(std::string_view(bytes).substr(split), collect);
        BOOST_TEST((events == std::vector<std::string> { "one", "two" }));
    }
}
