#pragma once

#include "ServerFaults.h"
#include "lavenderpick/Http/HttpServer.h"

#include <mutex>

namespace Lavenderpick::StandIns {

/// A plain service that runs every request, on any path, and journals each run.
///
/// `GET /journal` lists the runs as `{method, path, body, key}` in order.
class ServiceServer
{
public:
    ServiceServer();

    /// Binds loopback and serves; port 0 picks one. Returns the port.
    int start(int port) { return m_server.start("127.0.0.1", port); }

private:
    void answerRun(const httplib::Request &request, httplib::Response &response);

    std::mutex m_mutex;
    nlohmann::json m_journal = nlohmann::json::array();
    ServerFaults m_faults;
    Metrics m_metrics;
    HttpServer m_server; ///< Last, so that its threads end first.
};

} // namespace Lavenderpick::StandIns
