#include "Services/Entry/WaitingRoom.h"

namespace Lavenderpick {

namespace {

// How often a waiting thread checks its deadline and its caller.
constexpr Milliseconds checkPeriod { 100 };
// Requests that may try at once; more would only choose the same free upstream.
constexpr std::size_t triesPerPump = 4;

[[noreturn]] void refuse(RefusalReason reason, const std::string &detail)
{
    Problem problem { .reason = reason, .detail = detail };
    if (reason == RefusalReason::QueueFull || reason == RefusalReason::NoUpstream)
        problem.retryAfterSeconds = 1;
    throw ProblemError(problem);
}

} // namespace

WaitingRoom::WaitingRoom(const EntryContext &context, AgentDirectory &directory)
    : m_context(context)
    , m_directory(directory)
    , m_queue({ .maximumRequests =
                        static_cast<std::size_t>(context.settings.caps.waitingRequests) })
{ }

SelectedUpstream WaitingRoom::wait(const CompletionOrder &order, double cost,
                                   CompletionReceiver &receiver)
{
    const QueuedRequest request = describe(order, cost);
    while (true) {
        const Turn turn = waitForTurn(request, order, receiver);
        if (turn == Turn::Shed)
            refuse(RefusalReason::QueueFull, "Too many requests wait. Try again later.");
        if (turn == Turn::Expired)
            refuse(receiver.isOpen() ? RefusalReason::DeadlineExceeded : RefusalReason::Cancelled,
                   "The request ended while it waited for free memory. Allow more time.");
        SelectedUpstream selected = m_directory.select({ .model = order.model,
                                                         .prompt = order.prompt,
                                                         .promptTokens = order.promptTokens,
                                                         .outputTokens = order.maximumTokens });
        if (selected)
            return selected;
        if (selected.decision.refusal != RefusalReason::UpstreamMemory)
            refuse(selected.decision.refusal,
                   "No upstream of this model is left. Try again later.");
    }
}

void WaitingRoom::pump()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_context.clock.now();
    for (const QueuedRequest &expired : m_queue.expire(now))
        m_shed.insert(expired.id);
    for (std::size_t count = 0; count < triesPerPump; ++count) {
        const auto next = m_queue.pop(now);
        if (!next)
            break;
        m_granted.insert(next->id);
    }
    m_changed.notify_all();
}

std::size_t WaitingRoom::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.size();
}

WaitingRoom::Turn WaitingRoom::waitForTurn(const QueuedRequest &request,
                                           const CompletionOrder &order,
                                           CompletionReceiver &receiver)
{
    std::unique_lock lock(m_mutex);
    if (const auto shed = m_queue.push(request)) {
        if (shed->id == request.id)
            return Turn::Shed;
        m_shed.insert(shed->id);
        m_changed.notify_all();
    }
    while (true) {
        if (m_granted.erase(request.id) > 0)
            return Turn::Granted;
        const bool shed = m_shed.erase(request.id) > 0;
        const bool late = m_context.clock.now() >= order.deadline;
        if (shed && !late)
            return Turn::Shed;
        if (late || !receiver.isOpen()) {
            m_queue.remove(request.id);
            return Turn::Expired;
        }
        m_changed.wait_for(lock, checkPeriod);
    }
}

QueuedRequest WaitingRoom::describe(const CompletionOrder &order, double cost)
{
    const auto document = m_context.replica.current();
    const auto customer = document->customer(order.customer);
    const auto priority = document->priority(order.priority);
    const std::lock_guard lock(m_mutex);
    return {
        .id = ++m_lastId,
        .customer = order.customer,
        .weight = customer ? customer->weight : 1,
        .priorityRank = priority ? static_cast<int>(priority->rank) : 0,
        .cost = cost,
        .deadline = order.deadline,
        .enqueuedAt = m_context.clock.now(),
    };
}

} // namespace Lavenderpick
