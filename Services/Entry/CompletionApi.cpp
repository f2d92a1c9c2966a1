#include "Services/Entry/CompletionApi.h"

#include "Services/Entry/CallerConnection.h"
#include "Services/Entry/CompletionFormat.h"
#include "Services/Entry/StreamedCompletion.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Http/HttpServer.h"

namespace Lavenderpick {

namespace {

// The text is taken from the outcome; only the caller's departure matters before the end.
class WholeAnswerReceiver final : public CompletionReceiver
{
public:
    explicit WholeAnswerReceiver(CallerConnection connection)
        : m_connection(std::move(connection))
    { }

    bool onText(const std::string &) override { return true; }
    bool isOpen() override { return !m_connection.hasLeft(); }

private:
    CallerConnection m_connection;
};

} // namespace

CompletionApi::CompletionApi(const EntryContext &context, CompletionService &service)
    : m_context(context)
    , m_service(service)
{ }

void CompletionApi::addRoutes(httplib::Server &routes, CallerGuard &guard)
{
    routes.Post("/v1/completions", guard.wrap([this](CallerRequest &request) { answer(request); }));
}

void CompletionApi::answer(CallerRequest &request)
{
    requireRole(request, "completions");
    const auto body = CompletionRequest::parse(parseJson(request.http.body, "body"));
    AdmittedCompletion admitted =
            m_service.admit(body, request.requestId, request.customer.name, *request.document);
    if (body.stream)
        answerStream(request, std::move(admitted));
    else
        answerWhole(request, admitted);
}

void CompletionApi::answerStream(CallerRequest &request, AdmittedCompletion admitted)
{
    const CompletionFormat format(request.requestId, admitted.order.model,
                                  m_context.clock.wallSeconds());
    auto stream = std::make_shared<StreamedCompletion>(
            format, [this, admitted = std::move(admitted)](CompletionReceiver &receiver) {
                return m_service.run(admitted, receiver);
            });
    stream->waitForFirstText();
    // The pass lives as long as the response, so that a shutdown waits for the stream.
    request.response.set_chunked_content_provider(
            "text/event-stream",
            [stream, pass = request.pass](std::size_t, httplib::DataSink &sink) {
                return stream->writeNext(sink);
            });
}

void CompletionApi::answerWhole(CallerRequest &request, const AdmittedCompletion &admitted)
{
    WholeAnswerReceiver receiver(CallerConnection(request.http, m_context.clock));
    const CompletionOutcome outcome = m_service.run(admitted, receiver);
    if (outcome.problem)
        throw ProblemError(*outcome.problem);
    const CompletionFormat format(request.requestId, admitted.order.model,
                                  m_context.clock.wallSeconds());
    answerJson(request.response, 200, format.body(outcome));
}

} // namespace Lavenderpick
