#include "Services/Entry/EntryInternalApi.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Http/HttpServer.h"

#include <charconv>

namespace Lavenderpick {

namespace {

constexpr int okStatus = 200;
constexpr int unavailableStatus = 503;

std::int64_t parseSince(const std::string &text)
{
    std::int64_t since = -1;
    const char *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, since);
    if (error != std::errc() || position != end)
        throw Error(ErrorKind::InvalidMessage, "'since' must be a version",
                    "Send the version of the document that you have.");
    return since;
}

} // namespace

EntryInternalApi::EntryInternalApi(const EntryContext &context,
                                   const MessageAuthenticator &authenticator,
                                   AgentDirectory &directory, DrainGate &gate)
    : m_context(context)
    , m_authenticator(authenticator)
    , m_directory(directory)
    , m_gate(gate)
{ }

void EntryInternalApi::addStatusPart(const std::string &name, StatusPart part)
{
    m_parts.emplace_back(name, std::move(part));
}

void EntryInternalApi::addRoutes(httplib::Server &routes)
{
    routes.Get("/internal/document",
               authenticated([this](const httplib::Request &request, httplib::Response &response) {
                   answerDocument(request, response);
               }));
    routes.Get("/internal/vms",
               authenticated([this](const httplib::Request &, httplib::Response &response) {
                   answerJson(response, okStatus, m_directory.vmList().toJson());
               }));
    routes.Get("/internal/status",
               authenticated([this](const httplib::Request &, httplib::Response &response) {
                   answerJson(response, okStatus, status());
               }));
    routes.Get("/health", [this](const httplib::Request &, httplib::Response &response) {
        answerJson(response, okStatus, health());
    });
    routes.Get("/ready", [this](const httplib::Request &, httplib::Response &response) {
        answerJson(response, isReady() ? okStatus : unavailableStatus, health());
    });
    routes.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(metrics(), "text/plain; version=0.0.4");
    });
}

httplib::Server::Handler EntryInternalApi::authenticated(httplib::Server::Handler handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request,
                                                httplib::Response &response) {
        m_authenticator.verify(request.method, request.target, request.body,
                               request.get_header_value(authenticationHeader));
        response.set_header(documentVersionHeader, std::to_string(m_context.replica.version()));
        handler(request, response);
    };
}

void EntryInternalApi::answerDocument(const httplib::Request &request, httplib::Response &response)
{
    if (m_context.replica.version() == 0)
        throw ProblemError({ .reason = RefusalReason::NotReady,
                             .detail = "This entry has no document yet. Ask another one.",
                             .retryAfterSeconds = 1 });
    // Agents ask without the sections that hold keys.
    const DocumentView view = request.get_param_value("view") == "agent" ? DocumentView::WithoutKeys
                                                                         : DocumentView::Whole;
    answerJson(response, okStatus,
               m_context.replica.toMessage(parseSince(request.get_param_value("since")), view));
}

bool EntryInternalApi::isReady() const
{
    return m_context.replica.isReady() && m_directory.hasHeardFromAgents() && !m_gate.isAnnounced();
}

nlohmann::json EntryInternalApi::health() const
{
    const auto age = m_context.replica.confirmationAge();
    nlohmann::json json {
        { "name", m_context.settings.name },
        { "ready", isReady() },
        { "draining", m_gate.isAnnounced() },
        { "running", m_gate.running() },
        { "document_version", m_context.replica.version() },
        { "confirmation_age_ms", nullptr },
    };
    if (age)
        json["confirmation_age_ms"] = toMilliseconds(*age);
    return json;
}

nlohmann::json EntryInternalApi::status() const
{
    nlohmann::json json = health();
    json["role"] = "entry";
    json["address"] = m_context.settings.address();
    json["region"] = m_context.settings.region;
    json["availability_zone"] = m_context.settings.availabilityZone;
    json["directory"] = m_directory.toJson();
    for (const auto &[name, part] : m_parts)
        json[name] = part();
    return json;
}

std::string EntryInternalApi::metrics()
{
    const auto age = m_context.replica.confirmationAge();
    m_context.metrics.setGauge("lavenderpick_document_version", {},
                               static_cast<double>(m_context.replica.version()));
    m_context.metrics.setGauge("lavenderpick_document_confirmation_age_seconds", {},
                               age ? std::chrono::duration<double>(*age).count() : -1);
    m_context.metrics.setGauge("lavenderpick_running_requests", {},
                               static_cast<double>(m_gate.running()));
    return m_context.metrics.toPrometheusText();
}

} // namespace Lavenderpick
