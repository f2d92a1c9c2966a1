#include "Services/Agent/CallService.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Base/Problem.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

[[noreturn]] void refuse(RefusalReason reason, const CallRequest &request,
                         const std::string &detail)
{
    throw ProblemError({ .reason = reason, .detail = detail, .requestId = request.requestId });
}

CallAnswer answerOf(const ServiceResult &result)
{
    switch (result.kind) {
    case ServiceResult::Kind::Answered:
        return { .ran = Ran::Yes,
                 .status = result.status,
                 .body = result.body,
                 .contentType = result.contentType };
    case ServiceResult::Kind::NotSent:
        return { .ran = Ran::No };
    case ServiceResult::Kind::Unknown:
        return { .ran = Ran::Unknown };
    }
    return { .ran = Ran::Unknown };
}

HttpHeaders headersOf(const CallRequest &request)
{
    HttpHeaders headers { { "X-Request-Id", request.requestId } };
    // Two customers may use the same key; the service must not take one's call for the other's.
    if (!request.key.empty())
        headers.emplace("Idempotency-Key", request.customer + "/" + request.key);
    return headers;
}

class CountedScope
{
public:
    explicit CountedScope(std::atomic<std::size_t> &count)
        : m_count(count)
        , m_before(count++)
    { }
    ~CountedScope() { --m_count; }
    CountedScope(const CountedScope &) = delete;
    CountedScope &operator=(const CountedScope &) = delete;

    std::size_t before() const { return m_before; }

private:
    std::atomic<std::size_t> &m_count;
    std::size_t m_before;
};

} // namespace

CallService::CallService(const AgentSettings &settings, UpstreamGate &gate,
                         const DocumentReplica &document, CallRecords &records, const Clock &clock)
    : m_upstream(settings.upstream)
    , m_maximumOpen(static_cast<std::size_t>(settings.caps.calls))
    , m_gate(gate)
    , m_document(document)
    , m_records(records)
    , m_clock(clock)
    , m_service(settings.upstream.address, clock)
{ }

CallAnswer CallService::run(const CallRequest &request)
{
    // Counted before the drain state is read, so that a drain can't miss a call that passed it.
    const CountedScope open(m_open);
    if (open.before() >= m_maximumOpen)
        refuse(RefusalReason::QueueFull, request, "Too many calls are open here. Try again later.");
    check(request);
    const TimePoint deadline = m_clock.now() + Milliseconds(request.deadlineMilliseconds);
    if (request.repeatable)
        return answerOf(send(request, deadline));
    return runOnce(request, deadline);
}

void CallService::check(const CallRequest &request) const
{
    if (const auto reason = m_gate.refusal())
        refuse(*reason, request, "This upstream takes no calls. Use another one.");
    if (m_upstream.kind != UpstreamKind::Service || request.service != m_upstream.service)
        refuse(RefusalReason::UnknownService, request, "This upstream is another service.");
    const auto service = m_document.current()->service(request.service);
    if (!service)
        refuse(RefusalReason::UnknownService, request, "The document has no such service.");
    if (!service->allowsPath(request.path))
        refuse(RefusalReason::Forbidden, request, "The document does not allow this path.");
    if (request.repeatable && !service->repeatable)
        refuse(RefusalReason::StaleDocument, request,
               "The service is not repeatable. Send the call with a key.");
    if (request.deadlineMilliseconds <= 0)
        refuse(RefusalReason::DeadlineExceeded, request, "The deadline has passed.");
}

CallAnswer CallService::runOnce(const CallRequest &request, TimePoint deadline)
{
    CallExecution execution = m_records.claimStart(request, deadline);
    if (execution.step() != CallExecution::Step::Send) {
        const CallAnswer &answer = execution.answer();
        if (answer.ran == Ran::No && answer.state.empty())
            refuse(execution.reason(), request, "The start could not be claimed. Try again.");
        return answer;
    }
    // The claim may have taken long; a caller whose deadline passed was told that the outcome is
    // unknown, and now it can be settled as not run.
    if (m_clock.now() >= deadline)
        m_records.recordNotSent(execution, RefusalReason::DeadlineExceeded);
    else
        m_records.recordOutcome(execution, send(request, deadline));
    return execution.answer();
}

ServiceResult CallService::send(const CallRequest &request, TimePoint deadline)
{
    try {
        // A reused connection may break after the request was written, which would leave the
        // outcome open more often.
        const HttpResponse response =
                m_service.sendOnNewConnection({ .method = request.method,
                                                .path = request.path,
                                                .body = request.body,
                                                .headers = headersOf(request),
                                                .timeout = deadline - m_clock.now() });
        return { .kind = ServiceResult::Kind::Answered,
                 .status = response.status,
                 .body = response.body,
                 .contentType = response.header("Content-Type") };
    } catch (const Error &error) {
        log(LogLevel::Warning, "call", error.what(), { { "request_id", request.requestId } });
        const bool notSent = error.kind() == ErrorKind::UpstreamUnavailable;
        return { .kind = notSent ? ServiceResult::Kind::NotSent : ServiceResult::Kind::Unknown };
    }
}

} // namespace Lavenderpick
