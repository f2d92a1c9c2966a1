#include "EngineServer.h"

#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Http/ServerSentEvents.h"

namespace Lavenderpick::StandIns {

namespace {

constexpr std::chrono::milliseconds pollInterval { 50 };

GenerateRequest parseGenerate(const nlohmann::json &json)
{
    GenerateRequest request { .id = requireString(json, "id"),
                              .prompt = requireString(json, "prompt"),
                              .maximumTokens = optionalInteger(json, "max_tokens", 0),
                              .priority = optionalInteger(json, "priority", 0, -100, 100),
                              .resumeText = optionalString(json, "resume_text", ""),
                              .resumeOffset = optionalInteger(json, "resume_offset", 0) };
    if (json.contains("handles"))
        request.handles = json.at("handles").get<std::vector<std::string>>();
    return request;
}

void answerError(httplib::Response &response, int status, const std::string &message)
{
    answerJson(response, status, { { "error", message } });
}

} // namespace

EngineServer::EngineServer(const EngineOptions &options)
    : m_options(options)
    , m_simulation(options)
    , m_server({ .bodyBytes = 64 * 1024 * 1024 }, m_metrics)
{
    addStreamRoutes();
    addMemoryRoutes();
    addStateRoutes();
}

EngineServer::~EngineServer()
{
    stop();
}

int EngineServer::start(int port)
{
    const int boundPort = m_server.start("127.0.0.1", port);
    m_steps = std::thread([this] { runSteps(); });
    return boundPort;
}

void EngineServer::stop()
{
    if (m_stopping.exchange(true))
        return;
    m_server.stop();
    if (m_steps.joinable())
        m_steps.join();
}

void EngineServer::runSteps()
{
    auto next = std::chrono::steady_clock::now();
    while (!m_stopping) {
        const auto duration = m_simulation.step();
        next += duration;
        const auto now = std::chrono::steady_clock::now();
        if (duration.count() == 0 || next < now - std::chrono::milliseconds(100))
            next = now;
        // Long steps are slept in parts, so that stopping doesn't wait for them.
        while (!m_stopping && std::chrono::steady_clock::now() < next)
            std::this_thread::sleep_until(
                    std::min(next, std::chrono::steady_clock::now() + pollInterval));
    }
}

void EngineServer::addStreamRoutes()
{
    auto &routes = m_server.routes();
    routes.Post("/generate", [this](const httplib::Request &request, httplib::Response &response) {
        const GenerateRequest generate = parseGenerate(parseJson(request.body, "request"));
        if (m_simulation.contains(generate.id))
            return answerError(response, 409, "the id is in use");
        if (!m_simulation.submit(generate, false))
            return answerError(response, 507, "the sequence can't fit in memory");
        relay(response, generate.id, generate.resumeOffset);
    });
    routes.Post("/segments", [this](const httplib::Request &request, httplib::Response &response) {
        answerSegment(parseJson(request.body, "request"), response);
    });
    routes.Get("/streams/([^/]+)",
               [this](const httplib::Request &request, httplib::Response &response) {
                   const std::string id = request.matches[1];
                   if (!m_simulation.contains(id))
                       return answerError(response, 404, "no such stream");
                   const std::string from = request.get_param_value("from");
                   relay(response, id, from.empty() ? 0 : std::stoll(from));
               });
    routes.Delete("/streams/([^/]+)",
                  [this](const httplib::Request &request, httplib::Response &response) {
                      response.status = m_simulation.cancel(request.matches[1]) ? 204 : 404;
                  });
}

void EngineServer::relay(httplib::Response &response, const std::string &id, std::int64_t from)
{
    response.set_chunked_content_provider(
            "text/event-stream",
            [this, id, from, lastWrite = std::chrono::steady_clock::now()](
                    std::size_t, httplib::DataSink &sink) mutable {
                if (m_stopping)
                    return false;
                const std::int64_t before = from;
                if (!writeProgress(sink, id, from))
                    return false;
                const auto now = std::chrono::steady_clock::now();
                if (from != before) {
                    lastWrite = now;
                } else if (m_options.heartbeatMilliseconds > 0
                           && now - lastWrite
                                   >= std::chrono::milliseconds(m_options.heartbeatMilliseconds)) {
                    sink.write(serverSentEventHeartbeat.data(), serverSentEventHeartbeat.size());
                    lastWrite = now;
                }
                return sink.is_writable();
            });
}

bool EngineServer::writeProgress(httplib::DataSink &sink, const std::string &id, std::int64_t &from)
{
    const EngineSimulation::Progress progress = m_simulation.progress(id, from, pollInterval);
    if (progress.gone)
        return false;
    std::string bytes;
    for (const auto &[offset, text] : progress.tokens) {
        bytes += formatServerSentEvent(
                nlohmann::json { { "offset", offset }, { "text", text } }.dump());
        from = offset + 1;
    }
    if (progress.finished)
        bytes += formatServerSentEvent(nlohmann::json {
                { "done", true },
                { "count", progress.count },
                { "digest", sha256(progress.text) },
                { "prompt_tokens", progress.promptTokens },
                { "cached_tokens",
                  progress.cachedTokens } }.dump());
    if (!bytes.empty())
        sink.write(bytes.data(), bytes.size());
    if (progress.finished)
        sink.done();
    return true;
}

void EngineServer::answerSegment(const nlohmann::json &json, httplib::Response &response)
{
    const GenerateRequest request = parseGenerate(json);
    if (!m_simulation.submit(request, true))
        return answerError(response, 507, "the segment can't fit in memory or its id is in use");
    while (!m_stopping) {
        const auto progress = m_simulation.progress(request.id, 0, pollInterval);
        if (progress.gone)
            return answerError(response, 410, "the segment was cancelled");
        if (progress.finished)
            return answerJson(
                    response, 200,
                    { { "handle", progress.handle }, { "tokens", progress.promptTokens } });
    }
    answerError(response, 503, "the engine stops");
}

void EngineServer::addMemoryRoutes()
{
    auto &routes = m_server.routes();
    routes.Post("/kv/export", [this](const httplib::Request &request, httplib::Response &response) {
        const auto json = parseJson(request.body, "request");
        const auto handle = m_simulation.exportStream(requireString(json, "id"));
        if (!handle)
            return answerError(response, 409, "unknown, not prefilled, or no memory");
        answerJson(response, 200, { { "handle", *handle } });
    });
    routes.Post("/kv/import", [this](const httplib::Request &request, httplib::Response &response) {
        const auto json = parseJson(request.body, "request");
        const auto handle = m_simulation.importHandle(requireString(json, "handle"));
        if (!handle)
            return answerError(response, 507, "no memory or not a handle");
        answerJson(response, 200, { { "handle", *handle } });
    });
    routes.Delete("/kv/([^/]+)",
                  [this](const httplib::Request &request, httplib::Response &response) {
                      response.status = m_simulation.releaseHandle(request.matches[1]) ? 204 : 404;
                  });
}

void EngineServer::addStateRoutes()
{
    auto &routes = m_server.routes();
    routes.Get("/load", [this](const httplib::Request &, httplib::Response &response) {
        answerJson(response, 200, m_simulation.load());
    });
    routes.Get("/inventory", [this](const httplib::Request &, httplib::Response &response) {
        answerJson(response, 200, m_simulation.inventory());
    });
    routes.Get("/cache_events",
               [this](const httplib::Request &request, httplib::Response &response) {
                   const std::string after = request.get_param_value("after");
                   answerJson(response, 200,
                              m_simulation.cacheEvents(after.empty() ? 0 : std::stoll(after)));
               });
    routes.Get("/state", [this](const httplib::Request &, httplib::Response &response) {
        answerJson(response, 200, m_simulation.state());
    });
    routes.Post("/orders", [this](const httplib::Request &request, httplib::Response &response) {
        const bool accepted = m_simulation.order(parseJson(request.body, "order"));
        answerJson(response, accepted ? 200 : 409, { { "accepted", accepted } });
    });
}

} // namespace Lavenderpick::StandIns
