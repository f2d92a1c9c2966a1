#include "Services/Entry/JobApi.h"

#include "Services/Entry/CompletionRequest.h"
#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Http/HttpServer.h"

namespace Lavenderpick {

namespace {

constexpr const char *idempotencyHeader = "Idempotency-Key";
constexpr int acceptedStatus = 202;
constexpr int okStatus = 200;
constexpr std::size_t identifierDigits = 32;
constexpr int pollAfterSeconds = 5;

nlohmann::json describe(const JobRecord &record)
{
    return {
        { "id", record.id },
        { "state", std::string(toString(record.state)) },
        { "reason", record.reason },
        { "submitted_at", record.submittedAt },
        { "deadline_at", record.deadlineAt },
        { "expires_at", record.expiresAt },
    };
}

} // namespace

JobApi::JobApi(const EntryContext &context, JobRunner &jobs)
    : m_context(context)
    , m_jobs(jobs)
{ }

void JobApi::addRoutes(httplib::Server &routes, CallerGuard &guard)
{
    routes.Post("/v1/jobs",
                guard.wrap([this](CallerRequest &request) { answerSubmission(request); }));
    routes.Get(R"(/v1/jobs/([^/]+))",
               guard.wrap([this](CallerRequest &request) { answerState(request); }));
    routes.Get(R"(/v1/jobs/([^/]+)/result)",
               guard.wrap([this](CallerRequest &request) { answerResult(request); }));
}

void JobApi::answerSubmission(CallerRequest &request)
{
    requireRole(request, "jobs");
    const auto body = CompletionRequest::parse(parseJson(request.http.body, "body"));
    if (!request.document->model(body.model))
        throw ProblemError({ .reason = RefusalReason::UnknownModel,
                             .detail = "There is no model '" + body.model
                                     + "'. Ask the operators for the names in use." });
    // With a key, a repeat finds the job of the first submission.
    const std::string key = request.http.get_header_value(idempotencyHeader);
    const std::string id = key.empty()
            ? newIdentifier(m_context.random, "job")
            : "job-" + sha256(request.customer.name + '\n' + key).substr(0, identifierDigits);
    try {
        const JobRecord record = m_jobs.submit(id, request.customer.name, body);
        answerJson(request.response, acceptedStatus, describe(record));
    } catch (const Error &error) {
        if (error.kind() == ErrorKind::Conflict) {
            const auto record = m_jobs.store().read(id);
            if (record && record->customer == request.customer.name)
                return answerJson(request.response, acceptedStatus, describe(*record));
        }
        if (error.kind() != ErrorKind::StoreOutcomeUnknown)
            throw;
        throw ProblemError({ .reason = RefusalReason::StoreUnavailable,
                             .detail = "It is not known whether the job was stored. Look it up "
                                       "with GET /v1/jobs/"
                                     + id + ".",
                             .ran = Ran::Unknown });
    }
    request.response.set_header("Location", "/v1/jobs/" + id);
}

void JobApi::answerState(CallerRequest &request)
{
    answerJson(request.response, okStatus, describe(find(request)));
}

void JobApi::answerResult(CallerRequest &request)
{
    const JobRecord record = find(request);
    if (record.state == JobState::Failed)
        throw ProblemError({ .reason = RefusalReason::UpstreamFailed,
                             .detail = "The job failed: " + record.reason + ".",
                             .ran = Ran::Yes });
    const auto result =
            record.state == JobState::Done ? m_jobs.store().result(record.id) : std::nullopt;
    if (!result)
        throw ProblemError({ .reason = RefusalReason::NotFound,
                             .detail = "The job is not done yet. Try again later.",
                             .retryAfterSeconds = pollAfterSeconds });
    request.response.set_content(*result, "application/json");
}

JobRecord JobApi::find(const CallerRequest &request)
{
    const auto record = m_jobs.store().read(request.http.matches[1]);
    // Another customer's job looks like an absent one.
    if (!record || record->customer != request.customer.name)
        throw ProblemError({ .reason = RefusalReason::NotFound,
                             .detail = "There is no such job. Check the id; results are removed "
                                       "after a while." });
    return *record;
}

} // namespace Lavenderpick
