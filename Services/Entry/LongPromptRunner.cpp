#include "Services/Entry/LongPromptRunner.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"

#include <algorithm>
#include <thread>

namespace Lavenderpick {

namespace {

// Groups free up when long prompts end, which takes seconds.
constexpr Milliseconds firstBackoff { 200 };
constexpr Seconds longestBackoff { 5 };
constexpr double prefillTimeFactor = 4;
constexpr Seconds prefillTimeReserve { 10 };

bool isFinal(const Problem &problem)
{
    switch (problem.reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::BodyTooLarge:
    case RefusalReason::Forbidden:
    case RefusalReason::Cancelled:
    case RefusalReason::DeadlineExceeded:
    case RefusalReason::DeadlineTooShort:
        return true;
    default:
        return false;
    }
}

Problem noMemory()
{
    return { .reason = RefusalReason::UpstreamMemory,
             .detail = "No group of engines has the memory for this prompt now. Try again later.",
             .retryAfterSeconds = 5 };
}

} // namespace

LongPromptRunner::LongPromptRunner(const EntryContext &context, PeerClient &peers,
                                   AgentDirectory &directory, CompletionRelay &relay)
    : m_context(context)
    , m_peers(peers)
    , m_directory(directory)
    , m_relay(relay)
    , m_backoff(firstBackoff, longestBackoff)
    , m_owner(context.settings.name + "/" + std::to_string(context.clock.wallSeconds()))
{ }

CompletionOutcome LongPromptRunner::run(CompletionOrder order, CompletionReceiver &receiver)
{
    CompletionOutcome outcome = failure(order, noMemory());
    for (int retry = 0; receiver.isOpen(); ++retry) {
        std::vector<GroupMember> group =
                m_directory.selectGroup({ .model = order.model,
                                          .promptTokens = order.promptTokens,
                                          .outputTokens = order.maximumTokens });
        if (!group.empty()) {
            LongPromptPlan plan(std::move(group), order.prompt, order.promptTokens,
                                order.maximumTokens);
            outcome = runPlan(order, receiver, plan);
            if (!outcome.problem || isFinal(*outcome.problem))
                return outcome;
            order.resumeText = outcome.text;
            order.resumeOffset = outcome.tokens;
        }
        const auto delay = m_backoff.delay(retry, order.deadline - m_context.clock.now(), {},
                                           m_context.random);
        if (!delay)
            return outcome;
        m_context.metrics.countRetry(RetryReason::ReservationConflict);
        std::this_thread::sleep_for(*delay);
    }
    return failure(order, { .reason = RefusalReason::Cancelled, .detail = "The caller has left." });
}

CompletionOutcome LongPromptRunner::runPlan(const CompletionOrder &order,
                                            CompletionReceiver &receiver, LongPromptPlan &plan)
{
    ReservationKeeper keeper(m_peers, m_owner, newIdentifier(m_context.random, "reservation"));
    CompletionOutcome outcome = failure(order, noMemory());
    while (plan.step() != LongPromptPlan::Step::Release) {
        const Duration remaining = order.deadline - m_context.clock.now();
        if (remaining <= Duration {} || !receiver.isOpen())
            return failure(order,
                           { .reason = remaining <= Duration {} ? RefusalReason::DeadlineExceeded
                                                                : RefusalReason::Cancelled,
                             .detail = "The request ended before its prompt was read." });
        if (plan.step() == LongPromptPlan::Step::Reserve) {
            if (keeper.reserve(plan.member(), plan.segment().tokens, remaining))
                plan.onReserved();
            else
                plan.onRefused();
        } else if (plan.step() == LongPromptPlan::Step::Prefill) {
            prefill(order, plan, keeper.reservationId());
        } else {
            outcome = decode(order, receiver, plan, keeper.reservationId());
        }
    }
    return outcome;
}

void LongPromptRunner::prefill(const CompletionOrder &order, LongPromptPlan &plan,
                               const std::string &reservationId)
{
    const SegmentRequest message {
        .requestId = order.requestId,
        .reservationId = reservationId,
        .index = static_cast<std::int64_t>(plan.index()),
        .model = order.model,
        .prompt = std::string(plan.segment().text),
        .handles = plan.handles(),
        .deadlineMilliseconds = toMilliseconds(order.deadline - m_context.clock.now()),
    };
    try {
        const HttpResponse response = m_peers.send(plan.member().address,
                                                   { .method = "POST",
                                                     .path = "/internal/segments",
                                                     .body = toJsonText(message.toJson()),
                                                     .timeout = prefillLimit(order, plan) });
        if (response.status == 200) {
            plan.onPrefilled(requireString(parseJson(response.body, "segment"), "handle"));
            return;
        }
        log(LogLevel::Info, "long-prompt", "An agent refused a segment",
            { { "request_id", order.requestId }, { "upstream", plan.member().upstream } });
    } catch (const Error &error) {
        log(LogLevel::Info, "long-prompt", error.what(), { { "request_id", order.requestId } });
    }
    plan.onFailed();
}

CompletionOutcome LongPromptRunner::decode(const CompletionOrder &order,
                                           CompletionReceiver &receiver, LongPromptPlan &plan,
                                           const std::string &reservationId)
{
    CompletionOrder last = order;
    last.prompt = plan.segment().text;
    const PinnedUpstream pinned {
        .target = { .decision = { .upstream = plan.member().upstream },
                    .address = plan.member().address },
        .reservationId = reservationId,
        .handles = plan.handles(),
    };
    CompletionOutcome outcome = m_relay.runPinned(last, receiver, pinned);
    plan.onDecoded();
    return outcome;
}

Duration LongPromptRunner::prefillLimit(const CompletionOrder &order,
                                        const LongPromptPlan &plan) const
{
    const double predicted = m_directory.predictPrefill(
            plan.member().upstream, order.model, plan.segment().tokens, plan.contextTokens());
    const auto limit = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(predicted * prefillTimeFactor));
    return std::min<Duration>(limit + prefillTimeReserve, order.deadline - m_context.clock.now());
}

CompletionOutcome LongPromptRunner::failure(const CompletionOrder &order, Problem problem) const
{
    problem.requestId = order.requestId;
    if (order.resumeOffset > 0)
        problem.ran = Ran::Yes;
    return { .text = order.resumeText,
             .tokens = order.resumeOffset,
             .problem = std::move(problem) };
}

} // namespace Lavenderpick
