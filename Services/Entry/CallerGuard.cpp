#include "Services/Entry/CallerGuard.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Http/HttpServer.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

constexpr std::string_view bearerScheme = "Bearer ";
constexpr int internalServerErrorStatus = 500;

RefusalReason reasonOf(const Error &error)
{
    switch (error.kind()) {
    case ErrorKind::Unauthenticated:
        return RefusalReason::Unauthenticated;
    case ErrorKind::Forbidden:
        return RefusalReason::Forbidden;
    case ErrorKind::StoreUnavailable:
    case ErrorKind::StoreOutcomeUnknown:
        return RefusalReason::StoreUnavailable;
    case ErrorKind::DeadlineExceeded:
        return RefusalReason::DeadlineExceeded;
    case ErrorKind::InvalidDocument:
        return RefusalReason::NotReady;
    case ErrorKind::NotFound:
        return RefusalReason::NotFound;
    case ErrorKind::UpstreamUnavailable:
    case ErrorKind::UpstreamFailed:
        return RefusalReason::UpstreamFailed;
    default:
        return RefusalReason::BadRequest;
    }
}

Ran ranOf(const Error &error)
{
    const bool unknown = error.kind() == ErrorKind::StoreOutcomeUnknown
            || error.kind() == ErrorKind::UpstreamFailed;
    return unknown ? Ran::Unknown : Ran::No;
}

} // namespace

CallerGuard::CallerGuard(const EntryContext &context, DrainGate &gate)
    : m_context(context)
    , m_gate(gate)
{ }

httplib::Server::Handler CallerGuard::wrap(Handler handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request,
                                                httplib::Response &response) {
        const std::string requestId = newIdentifier(m_context.random, "request");
        response.set_header("X-Request-Id", requestId);
        try {
            handle(request, response, handler, requestId);
        } catch (const ProblemError &error) {
            refuse(response, error.problem(), requestId);
        } catch (const Error &error) {
            refuse(response,
                   { .reason = reasonOf(error), .detail = error.what(), .ran = ranOf(error) },
                   requestId);
        } catch (const std::exception &error) {
            log(LogLevel::Error, "caller", error.what(), { { "request_id", requestId } });
            refuse(response,
                   { .reason = RefusalReason::UpstreamFailed,
                     .detail = "An internal error occurred. Report the request id.",
                     .ran = Ran::Unknown },
                   requestId);
            response.status = internalServerErrorStatus;
        }
    };
}

void CallerGuard::handle(const httplib::Request &request, httplib::Response &response,
                         const Handler &handler, const std::string &requestId)
{
    auto pass = m_gate.enter();
    if (!pass)
        throw ProblemError({ .reason = RefusalReason::Draining,
                             .detail = "This entry is stopping. Send the request again.",
                             .retryAfterSeconds = 1 });
    if (!m_context.replica.isReady())
        throw ProblemError({ .reason = RefusalReason::NotReady,
                             .detail = "This entry has no document yet. Try again later.",
                             .retryAfterSeconds = 1 });
    auto document = m_context.replica.current();
    CallerRequest caller { .http = request,
                           .response = response,
                           .requestId = requestId,
                           .arrived = m_context.clock.now(),
                           .customer = authenticate(request, *document),
                           .document = document,
                           .pass = std::move(pass) };
    log(LogLevel::Debug, "caller", request.method + " " + request.path,
        { { "request_id", requestId }, { "customer", caller.customer.name } });
    handler(caller);
}

CustomerEntry CallerGuard::authenticate(const httplib::Request &request,
                                        const Document &document) const
{
    const std::string header = request.get_header_value("Authorization");
    if (header.starts_with(bearerScheme)) {
        if (auto customer = document.customerByKey(header.substr(bearerScheme.size())))
            return *customer;
    }
    throw ProblemError({ .reason = RefusalReason::Unauthenticated,
                         .detail = "The key is missing or wrong. Send 'Authorization: Bearer "
                                   "<key>'." });
}

void CallerGuard::refuse(httplib::Response &response, Problem problem, const std::string &requestId)
{
    problem.requestId = requestId;
    m_context.metrics.countRefusal(problem.reason);
    log(LogLevel::Info, "caller", "Refused: " + problem.detail,
        { { "request_id", requestId },
          { "reason", std::string(toString(problem.reason)) },
          { "ran", std::string(toString(problem.ran)) } });
    answerProblem(response, problem);
}

void requireRole(const CallerRequest &request, const std::string &role)
{
    if (request.customer.hasRole(role))
        return;
    throw ProblemError(
            { .reason = RefusalReason::Forbidden,
              .detail = "This key lacks the role '" + role + "'. Ask the operators to add it." });
}

Duration boundedDeadline(std::int64_t milliseconds, const EntryCaps &caps)
{
    // Compared as numbers, since a large number of milliseconds would overflow a duration.
    return Milliseconds(std::min(milliseconds, toMilliseconds(caps.maximumDeadline)));
}

} // namespace Lavenderpick
