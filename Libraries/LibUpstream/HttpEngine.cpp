#include "lavenderpick/Upstream/HttpEngine.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Http/ServerSentEvents.h"

namespace Lavenderpick {

namespace {

[[noreturn]] void throwUnexpected(const HttpRequest &request, const HttpResponse &response)
{
    const bool notFound = response.status == 404 || response.status == 410;
    throw Error(notFound ? ErrorKind::NotFound : ErrorKind::UpstreamFailed,
                "The engine answered " + request.method + " " + request.path + " with status "
                        + std::to_string(response.status),
                "See the engine's log.");
}

} // namespace

HttpEngine::HttpEngine(const std::string &address, const Clock &clock, Duration streamSilence)
    : m_client(address, clock)
    , m_streamSilence(streamSilence)
{ }

void HttpEngine::generate(const EngineRequest &request, const EngineEventReceiver &receiver)
{
    stream({ .method = "POST",
             .path = "/generate",
             .body = toJsonText(request.toJson()),
             .timeout = m_streamSilence },
           receiver);
}

void HttpEngine::resume(const std::string &id, std::int64_t from,
                        const EngineEventReceiver &receiver)
{
    stream({ .method = "GET",
             .path = "/streams/" + id + "?from=" + std::to_string(from),
             .timeout = m_streamSilence },
           receiver);
}

void HttpEngine::cancel(const std::string &id)
{
    remove("/streams/" + id);
}

std::string HttpEngine::prefillSegment(const EngineRequest &request, Duration timeout)
{
    const nlohmann::json json = fetch({ .method = "POST",
                                        .path = "/segments",
                                        .body = toJsonText(request.toJson()),
                                        .timeout = timeout });
    return requireString(json, "handle");
}

std::string HttpEngine::exportStream(const std::string &id)
{
    const nlohmann::json body { { "id", id } };
    return requireString(
            fetch({ .method = "POST", .path = "/kv/export", .body = toJsonText(body) }), "handle");
}

void HttpEngine::releaseHandle(const std::string &handle)
{
    remove("/kv/" + handle);
}

EngineLoad HttpEngine::load()
{
    return EngineLoad::parse(fetch({ .method = "GET", .path = "/load" }));
}

EngineInventory HttpEngine::inventory()
{
    return EngineInventory::parse(fetch({ .method = "GET", .path = "/inventory" }));
}

EngineState HttpEngine::state()
{
    return EngineState::parse(fetch({ .method = "GET", .path = "/state" }));
}

bool HttpEngine::order(const EngineOrder &order)
{
    const HttpRequest request { .method = "POST",
                                .path = "/orders",
                                .body = toJsonText(order.toJson()) };
    const HttpResponse response = m_client.send(request);
    if (response.status == 409)
        return false;
    if (response.status != 200)
        throwUnexpected(request, response);
    return true;
}

void HttpEngine::stream(const HttpRequest &request, const EngineEventReceiver &receiver)
{
    ServerSentEventParser parser;
    const HttpResponse response = m_client.stream(request, [&](std::string_view piece) {
        return parser.feed(piece, [&](std::string_view data) {
            return receiver(EngineEvent::parse(parseJson(data, "engine event")));
        });
    });
    if (response.status != 200)
        throwUnexpected(request, response);
}

nlohmann::json HttpEngine::fetch(const HttpRequest &request)
{
    const HttpResponse response = m_client.send(request);
    if (response.status != 200)
        throwUnexpected(request, response);
    return parseJson(response.body, "engine response");
}

void HttpEngine::remove(const std::string &path)
{
    const HttpRequest request { .method = "DELETE", .path = path };
    const HttpResponse response = m_client.send(request);
    if (response.status != 204 && response.status != 200 && response.status != 404)
        throwUnexpected(request, response);
}

} // namespace Lavenderpick
