#include "ServerFaults.h"

#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Http/HttpServer.h"

#include <thread>

namespace Lavenderpick::StandIns {

namespace {

// The library ends a response whose provider fails by closing the connection.
void breakConnection(httplib::Response &response)
{
    response.body.clear();
    response.set_content_provider(
            1, "application/octet-stream",
            [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

} // namespace

void ServerFaults::addRoutes(httplib::Server &server)
{
    server.Post("/faults", [this](const httplib::Request &request, httplib::Response &response) {
        const nlohmann::json json = parseJson(request.body, "faults");
        const std::lock_guard lock(m_mutex);
        m_settings = {
            .down = optionalBool(json, "down", m_settings.down),
            .slowMilliseconds = static_cast<int>(
                    optionalInteger(json, "slow_ms", m_settings.slowMilliseconds, 0, 60'000)),
            .loseAnswers = static_cast<int>(
                    optionalInteger(json, "lose_answers", m_settings.loseAnswers, 0, 1'000'000)),
        };
        answerJson(response, 200, nlohmann::json::object());
    });
    server.Get("/counters", [this](const httplib::Request &, httplib::Response &response) {
        const std::lock_guard lock(m_mutex);
        answerJson(response, 200, { { "reads", m_reads }, { "writes", m_writes } });
    });
}

httplib::Server::Handler ServerFaults::wrap(Access access, httplib::Server::Handler handler)
{
    return [this, access, handler = std::move(handler)](const httplib::Request &request,
                                                        httplib::Response &response) {
        std::unique_lock lock(m_mutex);
        ++(access == Access::Read ? m_reads : m_writes);
        const Settings settings = m_settings;
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::milliseconds(settings.slowMilliseconds));
        if (settings.down)
            return answerJson(response, 503, nlohmann::json::object());
        handler(request, response);
        lock.lock();
        if (access == Access::Read || m_settings.loseAnswers == 0)
            return;
        --m_settings.loseAnswers;
        breakConnection(response);
    };
}

} // namespace Lavenderpick::StandIns
