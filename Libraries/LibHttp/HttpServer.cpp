#include "lavenderpick/Http/HttpServer.h"

#include "BoundedTaskQueue.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"

#include <sys/socket.h>

namespace Lavenderpick {

namespace {

constexpr int internalServerErrorStatus = 500;
constexpr std::size_t requestsPerConnection = 10'000;
constexpr int kernelBacklog = 1'024;

std::size_t headerBytes(const httplib::Request &request)
{
    std::size_t bytes = request.target.size();
    for (const auto &[name, value] : request.headers)
        bytes += name.size() + value.size();
    return bytes;
}

// The library sets SO_REUSEPORT, with which a second process on the same port binds without an
// error and takes a share of the connections.
void allowRestartOnly(socket_t socket)
{
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
}

// The library answers some errors itself with an empty body; callers get problem details instead.
RefusalReason reasonForStatus(int status)
{
    switch (status) {
    case 404:
        return RefusalReason::NotFound;
    case 413:
        return RefusalReason::BodyTooLarge;
    default:
        return RefusalReason::BadRequest;
    }
}

} // namespace

void HttpServer::ListeningServer::widenBacklog(int connections)
{
    ::listen(svr_sock_, connections);
}

HttpServer::HttpServer(const HttpServerLimits &limits, Metrics &metrics)
    : m_metrics(metrics)
{
    m_server.new_task_queue = [limits] {
        return new BoundedTaskQueue(limits.threads, limits.waitingConnections);
    };
    m_server.set_payload_max_length(limits.bodyBytes);
    m_server.set_keep_alive_timeout(limits.idleSeconds);
    m_server.set_keep_alive_max_count(requestsPerConnection);
    m_server.set_read_timeout(limits.readSeconds);
    m_server.set_write_timeout(limits.readSeconds);
    m_server.set_tcp_nodelay(true);
    m_server.set_socket_options(allowRestartOnly);
    installErrorHandlers(limits);
}

HttpServer::~HttpServer()
{
    stop();
}

int HttpServer::start(const std::string &host, int port)
{
    const int boundPort = port == 0 ? m_server.bind_to_any_port(host)
                                    : (m_server.bind_to_port(host, port) ? port : -1);
    if (boundPort < 0)
        throw Error(ErrorKind::InvalidSettings, "Can't bind " + host + ":" + std::to_string(port),
                    "Choose a free port on an address of this VM.");
    m_server.widenBacklog(kernelBacklog);
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return boundPort;
}

void HttpServer::stop()
{
    if (!m_thread.joinable())
        return;
    m_server.stop();
    m_thread.join();
}

void HttpServer::installErrorHandlers(const HttpServerLimits &limits)
{
    m_server.set_pre_routing_handler([this, limits](const httplib::Request &request,
                                                    httplib::Response &response) {
        const auto refuse = [&](const Problem &problem) {
            m_metrics.countRefusal(problem.reason);
            answerProblem(response, problem);
            response.set_header("Connection", "close");
            return httplib::Server::HandlerResponse::Handled;
        };
        if (BoundedTaskQueue::isOverloaded())
            return refuse(
                    { .reason = RefusalReason::TooManyStreams,
                      .detail = "This process has no room for another connection. Try again later.",
                      .retryAfterSeconds = 1 });
        if (headerBytes(request) > limits.headerBytes)
            return refuse({ .reason = RefusalReason::BadRequest,
                            .detail = "The headers are too large. Send fewer." });
        return httplib::Server::HandlerResponse::Unhandled;
    });
    m_server.set_error_handler(httplib::Server::HandlerWithResponse(
            [this](const httplib::Request &, httplib::Response &response) {
                if (!response.body.empty() || response.status < 400)
                    return httplib::Server::HandlerResponse::Unhandled;
                const Problem problem {
                    .reason = reasonForStatus(response.status),
                    .detail = "The request was not understood. Check method, path and size.",
                };
                m_metrics.countRefusal(problem.reason);
                response.set_content(toJsonText(problem.toJson()), "application/problem+json");
                return httplib::Server::HandlerResponse::Handled;
            }));
    m_server.set_exception_handler([this](const httplib::Request &request,
                                          httplib::Response &response,
                                          std::exception_ptr exception) {
        try {
            std::rethrow_exception(exception);
        } catch (const ProblemError &error) {
            m_metrics.countRefusal(error.problem().reason);
            answerProblem(response, error.problem());
        } catch (const Error &error) {
            const bool authentication = error.kind() == ErrorKind::Unauthenticated;
            const Problem problem {
                .reason =
                        authentication ? RefusalReason::Unauthenticated : RefusalReason::BadRequest,
                .detail = error.what(),
            };
            m_metrics.countRefusal(problem.reason);
            answerProblem(response, problem);
            if (error.kind() != ErrorKind::InvalidMessage && !authentication) {
                response.status = internalServerErrorStatus;
                log(LogLevel::Error, "http", error.what(), { { "path", request.path } });
            }
        } catch (const std::exception &error) {
            log(LogLevel::Error, "http", error.what(), { { "path", request.path } });
            answerProblem(response,
                          { .reason = RefusalReason::UpstreamFailed,
                            .detail = "An internal error occurred. See the log of this process.",
                            .ran = Ran::Unknown });
            response.status = internalServerErrorStatus;
        }
    });
}

namespace {

void answer(httplib::Response &response, int status, const nlohmann::json &json,
            const char *contentType)
{
    response.status = status;
    response.set_content(toJsonText(json), contentType);
}

} // namespace

void answerJson(httplib::Response &response, int status, const nlohmann::json &json)
{
    answer(response, status, json, "application/json");
}

void answerProblem(httplib::Response &response, const Problem &problem)
{
    answer(response, problem.status(), problem.toJson(), "application/problem+json");
    if (problem.retryAfterSeconds)
        response.set_header("Retry-After", std::to_string(*problem.retryAfterSeconds));
}

} // namespace Lavenderpick
