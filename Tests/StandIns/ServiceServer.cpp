#include "ServiceServer.h"

namespace Lavenderpick::StandIns {

ServiceServer::ServiceServer()
    : m_server({ .threads = 64 }, m_metrics)
{
    auto &routes = m_server.routes();
    m_faults.addRoutes(routes);
    routes.Get("/journal", [this](const httplib::Request &, httplib::Response &response) {
        const std::lock_guard lock(m_mutex);
        answerJson(response, 200, { { "runs", m_journal } });
    });
    // Every run counts as a write, since it may have an effect whatever its method is.
    const auto run =
            m_faults.wrap(ServerFaults::Access::Write, [this](const auto &request, auto &response) {
                answerRun(request, response);
            });
    routes.Get("/.*", run);
    routes.Post("/.*", run);
    routes.Put("/.*", run);
    routes.Patch("/.*", run);
    routes.Delete("/.*", run);
}

void ServiceServer::answerRun(const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    m_journal.push_back({ { "method", request.method },
                          { "path", request.target },
                          { "body", request.body },
                          { "key", request.get_header_value("Idempotency-Key") } });
    answerJson(response, 200, { { "run", m_journal.size() }, { "path", request.path } });
}

} // namespace Lavenderpick::StandIns
