#pragma once

#include "ServerFaults.h"
#include "lavenderpick/Http/HttpServer.h"

namespace Lavenderpick::StandIns {

/// A plain service that runs every request, on any path, and journals each run.
///
/// `GET /journal` lists the runs as `{method, path, body, key}` in order.
class ServiceServer
{
public:
    ServiceServer()
        : m_server({ .threads = 64 }, m_metrics)
    {
        auto &routes = m_server.routes();
        m_faults.addRoutes(routes);
        routes.Get("/journal", [this](const httplib::Request &, httplib::Response &response) {
            const std::lock_guard lock(m_mutex);
            answerJson(response, 200, { { "runs", m_journal } });
        });
        // Every run counts as a write, since it may have an effect whatever its method is.
        const auto run = m_faults.wrap(
                ServerFaults::Access::Write,
                [this](const auto &request, auto &response) { answerRun(request, response); });
        routes.Get("/.*", run).Post("/.*", run).Put("/.*", run);
        routes.Patch("/.*", run).Delete("/.*", run);
    }

    /// Binds loopback and serves; port 0 picks one. Returns the port.
    int start(int port) { return m_server.start("127.0.0.1", port); }

private:
    void answerRun(const httplib::Request &request, httplib::Response &response)
    {
        const std::lock_guard lock(m_mutex);
        m_journal.push_back({ { "method", request.method },
                              { "path", request.target },
                              { "body", request.body },
                              { "key", request.get_header_value("Idempotency-Key") } });
        answerJson(response, 200, { { "run", m_journal.size() }, { "path", request.path } });
    }

    std::mutex m_mutex;
    nlohmann::json m_journal = nlohmann::json::array();
    ServerFaults m_faults;
    Metrics m_metrics;
    HttpServer m_server; ///< Last, so that its threads end first.
};

} // namespace Lavenderpick::StandIns
