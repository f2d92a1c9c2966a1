#pragma once

#include "EngineSimulation.h"
#include "lavenderpick/Http/HttpServer.h"

#include <atomic>
#include <thread>

namespace Lavenderpick::StandIns {

/// Serves an `EngineSimulation` over the engines' published interface.
class EngineServer
{
public:
    explicit EngineServer(const EngineOptions &options);
    ~EngineServer();

    /// Binds loopback and serves; port 0 picks one. Returns the port.
    int start(int port);

    /// Ends all open streams without their last event, as a crash does.
    void stop();

    EngineSimulation &simulation() { return m_simulation; }

private:
    void addStreamRoutes();
    void addMemoryRoutes();
    void addStateRoutes();
    void relay(httplib::Response &response, const std::string &id, std::int64_t from);
    bool writeProgress(httplib::DataSink &sink, const std::string &id, std::int64_t &from);
    void answerSegment(const nlohmann::json &request, httplib::Response &response);
    void runSteps();

    EngineOptions m_options;
    EngineSimulation m_simulation;
    Metrics m_metrics;
    HttpServer m_server;
    std::atomic<bool> m_stopping { false };
    std::thread m_steps;
};

} // namespace Lavenderpick::StandIns
