#include "Services/Agent/InternalApi.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

#include <charconv>

namespace Lavenderpick {

namespace {

constexpr int okStatus = 200;
constexpr int noContentStatus = 204;
constexpr int unavailableStatus = 503;

std::int64_t parseNumber(const std::string &text)
{
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!text.empty() && (!valid || number < 0))
        throw Error(ErrorKind::InvalidMessage, "'" + text + "' is not a number from 0",
                    "Check the peer's release.");
    return number;
}

} // namespace

void InternalApi::addRoutes(httplib::Server &routes)
{
    addAttemptRoutes(routes);
    addReservationRoutes(routes);
    addPublicRoutes(routes);
}

InternalApi::Handler InternalApi::guarded(Handler handler) const
{
    return [this, handler = std::move(handler)](const httplib::Request &request,
                                                httplib::Response &response) {
        m_services.authenticator.verify(request.method, request.target, request.body,
                                        request.get_header_value(authenticationHeader));
        const std::int64_t version = m_services.document.version();
        response.set_header(documentVersionHeader, std::to_string(version));
        const std::int64_t peerVersion =
                parseNumber(request.get_header_value(documentVersionHeader));
        if (peerVersion > version)
            m_services.onNewerDocument(peerVersion);
        handler(request, response);
    };
}

void InternalApi::addAttemptRoutes(httplib::Server &routes)
{
    AttemptService &attempts = m_services.attempts;
    routes.Post("/internal/attempts",
                guarded([&attempts](const httplib::Request &request, httplib::Response &response) {
                    attempts.create(AttemptRequest::parse(parseJson(request.body, "attempt")),
                                    response);
                }));
    routes.Get("/internal/attempts/([^/]+)/events",
               guarded([&attempts](const httplib::Request &request, httplib::Response &response) {
                   attempts.resume(request.matches[1], parseNumber(request.get_param_value("from")),
                                   response);
               }));
    routes.Delete(
            "/internal/attempts/([^/]+)",
            guarded([&attempts](const httplib::Request &request, httplib::Response &response) {
                attempts.cancel(request.matches[1]);
                response.status = noContentStatus;
            }));
    CallService &calls = m_services.calls;
    routes.Post("/internal/calls",
                guarded([&calls](const httplib::Request &request, httplib::Response &response) {
                    const CallAnswer answer =
                            calls.run(CallRequest::parse(parseJson(request.body, "call")));
                    answerJson(response, okStatus, answer.toJson());
                }));
}

void InternalApi::addReservationRoutes(httplib::Server &routes)
{
    ReservationService &reservations = m_services.reservations;
    routes.Post(
            "/internal/reservations",
            guarded([&reservations](const httplib::Request &request, httplib::Response &response) {
                const auto reservation =
                        ReservationRequest::parse(parseJson(request.body, "reservation"));
                reservations.reserve(reservation);
                answerJson(response, okStatus,
                           { { "expires_in_ms", reservation.ttlMilliseconds } });
            }));
    routes.Delete(
            "/internal/reservations/([^/]+)",
            guarded([&reservations](const httplib::Request &request, httplib::Response &response) {
                reservations.release(request.matches[1]);
                response.status = noContentStatus;
            }));
    routes.Post(
            "/internal/segments",
            guarded([&reservations](const httplib::Request &request, httplib::Response &response) {
                const std::string handle = reservations.prefill(
                        SegmentRequest::parse(parseJson(request.body, "segment")));
                answerJson(response, okStatus, { { "handle", handle } });
            }));
}

void InternalApi::addPublicRoutes(httplib::Server &routes)
{
    routes.Get("/internal/status",
               guarded([this](const httplib::Request &, httplib::Response &response) {
                   answerJson(response, okStatus, m_services.status());
               }));
    routes.Get("/health", [this](const httplib::Request &, httplib::Response &response) {
        const bool engine = m_services.gate.load().engineResponds;
        answerJson(response, okStatus,
                   { { "status", "ok" },
                     { "upstream_responds", engine },
                     { "document_version", m_services.document.version() } });
    });
    routes.Get("/ready", [this](const httplib::Request &, httplib::Response &response) {
        const auto refusal = m_services.gate.refusal();
        answerJson(response, refusal ? unavailableStatus : okStatus,
                   { { "ready", !refusal },
                     { "reason", refusal ? std::string(toString(*refusal)) : "" } });
    });
    routes.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(m_services.metrics.toPrometheusText(), "text/plain; version=0.0.4");
    });
}

} // namespace Lavenderpick
