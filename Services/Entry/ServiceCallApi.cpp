#include "Services/Entry/ServiceCallApi.h"

#include "lavenderpick/Http/HttpServer.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

constexpr const char *idempotencyHeader = "Idempotency-Key";
constexpr const char *deadlineHeader = "X-Lavenderpick-Deadline-Ms";
constexpr const char *ranHeader = "X-Lavenderpick-Ran";
constexpr std::size_t longestKey = 200;
constexpr Seconds lookUpLimit { 5 };

[[noreturn]] void refuse(RefusalReason reason, const std::string &detail)
{
    throw ProblemError({ .reason = reason, .detail = detail });
}

// Keys stand in paths and log lines.
bool isKey(const std::string &key)
{
    return !key.empty() && key.size() <= longestKey
            && std::all_of(key.begin(), key.end(), [](unsigned char character) {
                   return std::isalnum(character) != 0 || character == '-' || character == '_'
                           || character == '.' || character == ':';
               });
}

std::string readKey(const CallerRequest &request, const ServiceEntry &service)
{
    std::string key = request.http.get_header_value(idempotencyHeader);
    if (key.empty() && service.repeatable)
        return key;
    if (key.empty())
        refuse(RefusalReason::KeyRequired,
               "Calls to this service need the header Idempotency-Key. Use a new key for each "
               "call, and the same key to repeat it.");
    if (!isKey(key))
        refuse(RefusalReason::BadRequest,
               "The key must have 1 to 200 letters, digits, or any of '-_.:'.");
    return key;
}

Duration readDeadline(const CallerRequest &request, const ServiceEntry &service,
                      const EntryCaps &caps)
{
    const std::string text = request.http.get_header_value(deadlineHeader);
    if (text.empty())
        return std::min(service.timeout, caps.maximumDeadline);
    std::int64_t milliseconds = 0;
    const auto [position, error] =
            std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || position != text.data() + text.size() || milliseconds < 1)
        refuse(RefusalReason::BadRequest,
               std::string(deadlineHeader) + " must be a number of milliseconds.");
    return std::min(boundedDeadline(milliseconds, caps), service.timeout);
}

bool isText(const std::string &body)
{
    try {
        return !nlohmann::json(body).dump().empty();
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

// The path as the caller wrote it, since decoding could turn an allowed path into another one.
std::string pathBehindService(const std::string &target)
{
    const std::string prefix = "/v1/services/";
    const std::size_t slash = target.find('/', prefix.size());
    return slash == std::string::npos ? "/" : target.substr(slash);
}

} // namespace

ServiceCallApi::ServiceCallApi(const EntryContext &context, ServiceCalls &calls,
                               CallRecords &records)
    : m_context(context)
    , m_calls(calls)
    , m_records(records)
{ }

void ServiceCallApi::addRoutes(httplib::Server &routes, CallerGuard &guard)
{
    routes.Post(R"(/v1/services/([^/]+)(/.*)?)",
                guard.wrap([this](CallerRequest &request) { answerCall(request); }));
    routes.Get(R"(/v1/calls/([^/]+))",
               guard.wrap([this](CallerRequest &request) { answerLookUp(request); }));
}

void ServiceCallApi::answerCall(CallerRequest &request)
{
    const CallReply reply = m_calls.call(describe(request));
    request.response.status = reply.status;
    request.response.set_header(ranHeader, std::string(toString(reply.ran)));
    request.response.set_content(
            reply.body, reply.contentType.empty() ? "application/json" : reply.contentType.c_str());
}

ServiceCall ServiceCallApi::describe(const CallerRequest &request) const
{
    const std::string name = request.http.matches[1];
    const auto service = request.document->service(name);
    if (!service)
        refuse(RefusalReason::UnknownService,
               "There is no service '" + name + "'. Ask the operators for the names in use.");
    requireRole(request, "service:" + name);
    const std::string path = pathBehindService(request.http.target);
    if (!service->allowsPath(path))
        refuse(RefusalReason::Forbidden, "The service does not allow this path.");
    if (!isText(request.http.body))
        refuse(RefusalReason::BadRequest, "The body must be UTF-8 text.");
    return {
        .requestId = request.requestId,
        .customer = request.customer.name,
        .key = readKey(request, *service),
        .service = name,
        .method = request.http.method,
        .path = path,
        .body = request.http.body,
        .repeatable = service->repeatable,
        .deadline = request.arrived + readDeadline(request, *service, m_context.settings.caps),
    };
}

void ServiceCallApi::answerLookUp(CallerRequest &request)
{
    const std::string key = request.http.matches[1];
    if (!isKey(key))
        refuse(RefusalReason::BadRequest, "This is not an idempotency key.");
    const CallReply reply = m_records.lookUp({ .customer = request.customer.name, .key = key },
                                             m_context.clock.now() + lookUpLimit);
    nlohmann::json body {
        { "key", key },
        { "ran", std::string(toString(reply.ran)) },
        { "state", reply.state },
        { "request_id", request.requestId },
    };
    if (reply.ran == Ran::Yes) {
        body["status"] = reply.status;
        body["content_type"] = reply.contentType;
        body["body"] = reply.body;
    } else {
        body["reason"] = std::string(toString(reply.reason));
    }
    answerJson(request.response, 200, body);
}

} // namespace Lavenderpick
