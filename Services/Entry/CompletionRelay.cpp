#include "Services/Entry/CompletionRelay.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Http/ServerSentEvents.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace Lavenderpick {

namespace {

constexpr Seconds cancelTimeout { 1 };
constexpr Milliseconds shortestWait { 50 };
constexpr Milliseconds upstreamWait { 200 };
constexpr int notFoundStatus = 404;

// Bounds of the length classes by which the time to first token is reported.
std::string lengthLabel(std::int64_t promptTokens)
{
    for (const auto &[limit, label] :
         { std::pair { 2'000, "2k" }, { 16'000, "16k" }, { 100'000, "100k" } }) {
        if (promptTokens <= limit)
            return std::string("prompt=\"") + label + "\"";
    }
    return "prompt=\"1M\"";
}

bool isOpenStep(StreamStep step)
{
    return step == StreamStep::Drop || step == StreamStep::Deliver;
}

bool isPermanent(const Problem &problem)
{
    switch (problem.reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::BodyTooLarge:
    case RefusalReason::Forbidden:
    case RefusalReason::DeadlineExceeded:
    case RefusalReason::DeadlineTooShort:
        return true;
    default:
        return false;
    }
}

Problem parseRefusal(const HttpResponse &response)
{
    try {
        return Problem::parse(parseJson(response.body, "refusal"));
    } catch (const Error &) {
        return { .reason = RefusalReason::UpstreamFailed,
                 .detail = "The agent answered " + std::to_string(response.status) + ".",
                 .ran = Ran::Unknown };
    }
}

Problem noUpstream(RefusalReason reason)
{
    return { .reason = reason,
             .detail = "No upstream of this model can take the request now. Try again later.",
             .retryAfterSeconds = 1 };
}

} // namespace

struct CompletionRelay::Run
{
    const CompletionOrder &order;
    CompletionReceiver &receiver;
    CompletionStream stream;
    TimePoint started;
    const PinnedUpstream *pinned { nullptr };
    SelectedUpstream next {}; ///< Chosen already.
    SelectedUpstream target {};
    ServerSentEventParser parser {};
    std::vector<std::string> tried {};
    RetryReason retryReason { RetryReason::ConnectionFailed };
    std::optional<Problem> problem {}; ///< The reason for the last refusal or stop.
    bool mayHaveRun { false };
    bool anyToken { false };
    bool attemptToken { false }; ///< The current attempt has sent a token.
    bool receiverLeft { false };
    bool stopped { false }; ///< The receiver has left, or the deadline has passed.
    bool refused { false }; ///< The current attempt was refused, so that nothing runs there.
    int retries { 0 };

    SelectionRequest selection() const
    {
        return { .model = order.model,
                 .prompt = order.prompt,
                 .promptTokens = order.promptTokens + stream.nextOffset(),
                 .outputTokens = order.maximumTokens - stream.nextOffset(),
                 .tried = tried };
    }

    nlohmann::json logFields() const
    {
        return { { "request_id", order.requestId },
                 { "attempt_id", stream.attemptId() },
                 { "upstream", target.upstream() } };
    }
};

CompletionRelay::CompletionRelay(const Settings &settings, const Clock &clock, Random &random,
                                 Metrics &metrics, PeerClient &peers, UpstreamSelector &selector,
                                 Background background)
    : m_settings(settings)
    , m_clock(clock)
    , m_random(random)
    , m_metrics(metrics)
    , m_peers(peers)
    , m_selector(selector)
    , m_background(std::move(background))
{ }

CompletionOutcome CompletionRelay::run(const CompletionOrder &order, CompletionReceiver &receiver,
                                       const SelectedUpstream &first)
{
    Run run { .order = order,
              .receiver = receiver,
              .stream = CompletionStream(m_settings.limits, order.resumeText, order.resumeOffset),
              .started = m_clock.now(),
              .next = first };
    return runToEnd(run);
}

CompletionOutcome CompletionRelay::runPinned(const CompletionOrder &order,
                                             CompletionReceiver &receiver,
                                             const PinnedUpstream &pinned)
{
    Run run { .order = order,
              .receiver = receiver,
              .stream = CompletionStream(m_settings.limits, order.resumeText, order.resumeOffset),
              .started = m_clock.now(),
              .pinned = &pinned };
    return runToEnd(run);
}

CompletionOutcome CompletionRelay::runToEnd(Run &run)
{
    while (true) {
        if (auto problem = stopReason(run))
            return fail(run, *problem);
        run.target = nextTarget(run);
        if (!run.target) {
            // A response that has begun waits for an upstream; a new request is refused at once.
            if (!run.mayHaveRun)
                return fail(run, noUpstream(run.target.decision.refusal));
            std::this_thread::sleep_for(upstreamWait);
            continue;
        }
        const StreamStep step = runAttempt(run, run.target);
        if (step == StreamStep::Finish)
            return finish(run);
        if (!run.refused)
            cancelAttempt(run);
        if (step == StreamStep::Fail || !prepareRetry(run))
            return failAfterAttempt(run);
    }
}

SelectedUpstream CompletionRelay::nextTarget(Run &run) const
{
    if (run.pinned != nullptr)
        return run.pinned->target;
    if (run.next)
        return std::exchange(run.next, {});
    return m_selector.select(run.selection());
}

StreamStep CompletionRelay::runAttempt(Run &run, const SelectedUpstream &target)
{
    run.stream.startAttempt(newIdentifier(m_random, "attempt"));
    run.attemptToken = false;
    run.refused = false;
    run.problem.reset();
    const std::int64_t firstOffset = run.stream.nextOffset();
    m_selector.onSent(run.stream.attemptId(), target, run.selection());
    log(LogLevel::Debug, "relay", "Sending an attempt", run.logFields());
    StreamStep step = readStream(run, target.address, attemptRequest(run));
    while (step == StreamStep::Resume) {
        run.problem = stopReason(run);
        if (run.problem) {
            step = StreamStep::Fail;
            break;
        }
        m_metrics.countRetry(run.retryReason);
        log(LogLevel::Info, "relay", "Resuming a stream", run.logFields());
        step = readStream(run, target.address, resumeRequest(run));
    }
    const bool complete = step == StreamStep::Finish;
    AttemptResult result {
        .failed = !complete && !run.refused && !run.stopped,
        .outputTokens = run.stream.nextOffset() - firstOffset,
    };
    if (complete)
        result.cachedTokens = run.stream.usage().cachedTokens;
    m_selector.onFinished(run.stream.attemptId(), result);
    run.tried.push_back(target.upstream());
    return step;
}

StreamStep CompletionRelay::readStream(Run &run, const std::string &address,
                                       const HttpRequest &request)
{
    StreamStep step = StreamStep::Drop;
    run.parser = {};
    try {
        const HttpResponse response = m_peers.stream(address, request, [&](std::string_view piece) {
            run.mayHaveRun = true;
            return receivePiece(run, piece, step);
        });
        if (response.status != 200)
            return onRefusal(run, response);
        run.retryReason = RetryReason::StreamInterrupted;
    } catch (const Error &error) {
        if (error.kind() == ErrorKind::UpstreamUnavailable) {
            run.retryReason = RetryReason::ConnectionFailed;
            return run.stream.onAttemptLost();
        }
        run.mayHaveRun = true;
        run.retryReason = RetryReason::SilentConnection;
    }
    return isOpenStep(step) ? run.stream.onInterruption() : step;
}

bool CompletionRelay::receivePiece(Run &run, std::string_view piece, StreamStep &step)
{
    run.problem = stopReason(run);
    if (run.problem) {
        step = StreamStep::Fail;
        return false;
    }
    try {
        run.parser.feed(piece, [&](std::string_view data) {
            step = applyEvent(run, AttemptEvent::parse(parseJson(data, "attempt event")));
            return isOpenStep(step);
        });
    } catch (const Error &error) {
        log(LogLevel::Warning, "relay", error.what(), run.logFields());
        step = run.stream.onInterruption();
    }
    return isOpenStep(step);
}

StreamStep CompletionRelay::applyEvent(Run &run, const AttemptEvent &event)
{
    const StreamStep step = run.stream.onEvent(event);
    if (event.type == AttemptEventType::Failed && step != StreamStep::Drop)
        run.retryReason = event.reason == toString(RefusalReason::Draining)
                ? RetryReason::UpstreamDraining
                : RetryReason::UpstreamFailed;
    if (step == StreamStep::Drop)
        m_metrics.increment("lavenderpick_dropped_events_total");
    if (step != StreamStep::Deliver)
        return step;
    if (!run.attemptToken)
        m_selector.onFirstToken(run.stream.attemptId());
    if (!run.anyToken)
        m_metrics.observe("lavenderpick_first_token_seconds", lengthLabel(run.order.promptTokens),
                          std::chrono::duration<double>(m_clock.now() - run.started).count());
    run.attemptToken = true;
    run.anyToken = true;
    run.receiverLeft = !run.receiver.onText(event.text);
    if (!run.receiverLeft)
        return step;
    run.problem = stopReason(run);
    return StreamStep::Fail;
}

StreamStep CompletionRelay::onRefusal(Run &run, const HttpResponse &response)
{
    const Problem problem = parseRefusal(response);
    log(LogLevel::Info, "relay", "An agent refused an attempt: " + problem.detail, run.logFields());
    // An agent that has forgotten the attempt was restarted; its engine may still run it.
    run.refused = problem.ran == Ran::No && response.status != notFoundStatus;
    run.mayHaveRun = run.mayHaveRun || problem.ran != Ran::No;
    run.retryReason = problem.reason == RefusalReason::Draining ? RetryReason::UpstreamDraining
                                                                : RetryReason::UpstreamRefused;
    run.problem = problem;
    return isPermanent(problem) ? StreamStep::Fail : run.stream.onAttemptLost();
}

HttpRequest CompletionRelay::attemptRequest(const Run &run) const
{
    const CompletionOrder &order = run.order;
    const AttemptRequest message {
        .requestId = order.requestId,
        .attemptId = run.stream.attemptId(),
        .customer = order.customer,
        .model = order.model,
        .priority = order.priority,
        .prompt = order.prompt,
        .maximumTokens = order.maximumTokens,
        .deadlineMilliseconds = toMilliseconds(order.deadline - m_clock.now()),
        .resumeText = run.stream.text(),
        .resumeOffset = run.stream.nextOffset(),
        .reservationId = run.pinned != nullptr ? run.pinned->reservationId : "",
        .handles = run.pinned != nullptr ? run.pinned->handles : std::vector<std::string> {},
    };
    return { .method = "POST",
             .path = "/internal/attempts",
             .body = toJsonText(message.toJson()),
             .timeout = waitLimit(run) };
}

HttpRequest CompletionRelay::resumeRequest(const Run &run) const
{
    return { .method = "GET",
             .path = "/internal/attempts/" + run.stream.attemptId()
                     + "/events?from=" + std::to_string(run.stream.nextOffset()),
             .timeout = waitLimit(run) };
}

Duration CompletionRelay::waitLimit(const Run &run) const
{
    // Socket timeouts are cut to microseconds. A wait that ends just before the deadline would
    // start a resume with no time left.
    const Duration untilDeadline = run.order.deadline - m_clock.now() + Milliseconds(1);
    return std::max<Duration>(shortestWait, std::min(m_settings.silence, untilDeadline));
}

bool CompletionRelay::prepareRetry(Run &run)
{
    if (!m_selector.mayRetry(run.retryReason)) {
        m_metrics.increment("lavenderpick_retry_budget_exhausted_total");
        return false;
    }
    m_metrics.countRetry(run.retryReason);
    const auto delay =
            m_backoff.delay(run.retries++, run.order.deadline - m_clock.now(), {}, m_random);
    if (!delay)
        return false;
    log(LogLevel::Info, "relay", "Starting another attempt", run.logFields());
    std::this_thread::sleep_for(*delay);
    return true;
}

std::optional<Problem> CompletionRelay::stopReason(Run &run) const
{
    run.receiverLeft = run.receiverLeft || !run.receiver.isOpen();
    run.stopped = run.receiverLeft || m_clock.now() >= run.order.deadline;
    if (run.receiverLeft)
        return Problem { .reason = RefusalReason::Cancelled, .detail = "The caller has left." };
    if (run.stopped)
        return Problem { .reason = RefusalReason::DeadlineExceeded,
                         .detail =
                                 "The deadline passed. Allow more time or ask for fewer tokens." };
    return std::nullopt;
}

void CompletionRelay::cancelAttempt(const Run &run)
{
    m_background([this, address = run.target.address, id = run.stream.attemptId()] {
        try {
            m_peers.send(address,
                         { .method = "DELETE",
                           .path = "/internal/attempts/" + id,
                           .timeout = cancelTimeout });
        } catch (const Error &error) {
            log(LogLevel::Info, "relay", error.what(), { { "attempt_id", id } });
        }
    });
}

CompletionOutcome CompletionRelay::finish(Run &run)
{
    m_selector.onSuccess();
    m_metrics.increment("lavenderpick_completions_total", "outcome=\"complete\"");
    log(LogLevel::Debug, "relay", "Completed", run.logFields());
    return { .text = run.stream.text(),
             .tokens = run.stream.nextOffset(),
             .finishReason = run.stream.finishReason(),
             .usage = run.stream.usage(),
             .attemptId = run.stream.attemptId(),
             .upstream = run.target.upstream() };
}

CompletionOutcome CompletionRelay::failAfterAttempt(Run &run)
{
    // A deadline that passed in the meantime is the reason, whatever the last attempt met.
    if (const auto problem = stopReason(run))
        return fail(run, *problem);
    return fail(run,
                run.problem.value_or(Problem { .reason = run.stream.failure(),
                                               .detail = "The upstream failed." }));
}

CompletionOutcome CompletionRelay::fail(Run &run, Problem problem)
{
    problem.requestId = run.order.requestId;
    problem.ran = run.anyToken ? Ran::Yes : (run.mayHaveRun ? Ran::Unknown : Ran::No);
    m_metrics.increment("lavenderpick_completions_total", "outcome=\"failed\"");
    nlohmann::json fields = run.logFields();
    fields["reason"] = std::string(toString(problem.reason));
    log(LogLevel::Info, "relay", "Failed: " + problem.detail, fields);
    return { .text = run.stream.text(),
             .tokens = run.stream.nextOffset(),
             .attemptId = run.stream.attemptId(),
             .upstream = run.target.upstream(),
             .problem = std::move(problem) };
}

} // namespace Lavenderpick
