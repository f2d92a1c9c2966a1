#include "Services/Entry/ServiceCalls.h"

#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Retry/Backoff.h"

#include <algorithm>
#include <thread>

namespace Lavenderpick {

namespace {

constexpr int maximumTries = 3;
constexpr int okStatus = 200;

Problem noAgent()
{
    return { .reason = RefusalReason::NoUpstream,
             .detail = "No runner of this service can be reached. Try again later.",
             .retryAfterSeconds = 1 };
}

// Another agent of the service refuses for the same reason.
bool refusesEverywhere(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Draining:
    case RefusalReason::QueueFull:
    case RefusalReason::TooManyStreams:
    case RefusalReason::NotReady:
    case RefusalReason::StaleDocument:
    case RefusalReason::UnknownService:
        return false;
    default:
        return true;
    }
}

std::optional<Problem> parseProblem(const HttpResponse &response)
{
    try {
        return Problem::parse(parseJson(response.body, "refusal"));
    } catch (const Error &) {
        return std::nullopt;
    }
}

} // namespace

std::string ServiceCall::digest() const
{
    // Lengths keep the parts apart, so that no two calls give the same text.
    std::string text;
    for (const std::string *part : { &service, &method, &path, &body })
        text.append(std::to_string(part->size())).append(":").append(*part);
    return sha256(text);
}

struct ServiceCalls::Sending
{
    std::vector<std::string> tried {};
    std::optional<Problem> refusal {}; ///< The last proven refusal.
};

ServiceCalls::ServiceCalls(const EntryContext &context, PeerClient &peers,
                           AgentDirectory &directory, CallRecords &records)
    : m_context(context)
    , m_peers(peers)
    , m_directory(directory)
    , m_records(records)
{ }

CallReply ServiceCalls::call(const ServiceCall &call)
{
    CallReply reply = call.repeatable ? callRepeatable(call) : callOnce(call);
    m_context.metrics.increment("lavenderpick_service_calls_total",
                                "ran=\"" + std::string(toString(reply.ran)) + "\"");
    return reply;
}

CallReply ServiceCalls::callOnce(const ServiceCall &call)
{
    Sending sending;
    CallReply reply = m_records.dispatch(
            CallDispatch(makeRequest(call), m_context.clock.wallSeconds()),
            [&](const CallRequest &request) { return sendToAnyAgent(request, sending); },
            call.deadline);
    if (reply.ran == Ran::Yes)
        return reply;
    // The agents' own refusal says more than the record.
    if (reply.ran == Ran::No && sending.refusal && reply.state.empty())
        throw ProblemError(*sending.refusal);
    Problem problem { .reason = reply.reason, .detail = {}, .ran = reply.ran };
    if (reply.reason == RefusalReason::KeyReused)
        problem.detail = "The key was used for another call. Use a new key for each call.";
    else if (reply.ran == Ran::No)
        problem.detail = "The call did not run. Send it again with the same key.";
    else
        problem.detail = "It is not known whether the call ran. Look it up with GET /v1/calls/"
                + call.key + ".";
    if (reply.reason == RefusalReason::StoreUnavailable)
        problem.retryAfterSeconds = 2;
    throw ProblemError(problem);
}

CallReply ServiceCalls::callRepeatable(const ServiceCall &call)
{
    Sending sending;
    const Backoff backoff;
    CallRequest request = makeRequest(call);
    Problem failure { .reason = RefusalReason::UpstreamFailed,
                      .detail = "The service failed. Send the call again.",
                      .ran = Ran::Unknown,
                      .retryAfterSeconds = 1 };
    for (int retry = 0; retry < maximumTries; ++retry) {
        const Duration remaining = call.deadline - m_context.clock.now();
        request.deadlineMilliseconds = std::max<std::int64_t>(toMilliseconds(remaining), 0);
        const auto answer = sendToAnyAgent(request, sending);
        if (answer && answer->ran == Ran::Yes) {
            m_directory.onSuccess();
            return { .ran = Ran::Yes,
                     .status = answer->status,
                     .body = answer->body,
                     .contentType = answer->contentType };
        }
        if (answer && answer->ran == Ran::No)
            throw ProblemError(sending.refusal.value_or(noAgent()));
        const auto delay =
                backoff.delay(retry, call.deadline - m_context.clock.now(), {}, m_context.random);
        if (!delay || !m_directory.mayRetry(RetryReason::UpstreamFailed))
            break;
        m_context.metrics.countRetry(RetryReason::UpstreamFailed);
        std::this_thread::sleep_for(*delay);
    }
    throw ProblemError(failure);
}

std::optional<CallAnswer> ServiceCalls::sendToAnyAgent(const CallRequest &request, Sending &sending)
{
    const TimePoint deadline = m_context.clock.now() + Milliseconds(request.deadlineMilliseconds);
    while (m_context.clock.now() < deadline) {
        const SelectedUpstream target = m_directory.selectService(request.service, sending.tried);
        if (!target) {
            if (!sending.refusal)
                sending.refusal = noAgent();
            return CallAnswer { .ran = Ran::No };
        }
        CallRequest message = request;
        message.deadlineMilliseconds = toMilliseconds(deadline - m_context.clock.now());
        std::optional<CallAnswer> answer = sendTo(target, message, sending);
        const bool proven = answer && answer->ran == Ran::No && answer->state.empty();
        if (!proven || (sending.refusal && refusesEverywhere(sending.refusal->reason)))
            return answer;
        // Only a refusal rules the agent out: a repeat after a cancellation may need it again.
        sending.tried.push_back(target.upstream());
    }
    // Every agent that was tried has proven that it did not start the call.
    return CallAnswer { .ran = Ran::No };
}

std::optional<CallAnswer> ServiceCalls::sendTo(const SelectedUpstream &target,
                                               const CallRequest &request, Sending &sending)
{
    try {
        const HttpResponse response =
                m_peers.send(target.address,
                             { .method = "POST",
                               .path = "/internal/calls",
                               .body = toJsonText(request.toJson()),
                               .timeout = Milliseconds(request.deadlineMilliseconds) });
        if (response.status == okStatus) {
            m_directory.recordServiceResult(target.upstream(), false);
            return CallAnswer::parse(parseJson(response.body, "call answer"));
        }
        const auto problem = parseProblem(response);
        if (!problem || problem->ran != Ran::No)
            return std::nullopt;
        sending.refusal = problem;
        return CallAnswer { .ran = Ran::No };
    } catch (const Error &error) {
        m_directory.recordServiceResult(target.upstream(), true);
        log(LogLevel::Info, "service-call", error.what(),
            { { "request_id", request.requestId }, { "upstream", target.upstream() } });
        if (error.kind() != ErrorKind::UpstreamUnavailable)
            return std::nullopt;
        m_context.metrics.countRetry(RetryReason::ConnectionFailed);
        return CallAnswer { .ran = Ran::No };
    }
}

CallRequest ServiceCalls::makeRequest(const ServiceCall &call) const
{
    return {
        .requestId = call.requestId,
        .token = newIdentifier(m_context.random, "call"),
        .customer = call.customer,
        .key = call.key,
        .digest = call.digest(),
        .service = call.service,
        .method = call.method,
        .path = call.path,
        .body = call.body,
        .repeatable = call.repeatable,
    };
}

} // namespace Lavenderpick
