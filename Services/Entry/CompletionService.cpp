#include "Services/Entry/CompletionService.h"

namespace Lavenderpick {

CompletionService::CompletionService(const EntryContext &context, AgentDirectory &directory,
                                     AdmissionControl &admission, WaitingRoom &waitingRoom,
                                     CompletionRelay &relay, LongPromptRunner &longPrompts)
    : m_context(context)
    , m_directory(directory)
    , m_admission(admission)
    , m_waitingRoom(waitingRoom)
    , m_relay(relay)
    , m_longPrompts(longPrompts)
{ }

AdmittedCompletion CompletionService::admit(const CompletionRequest &request,
                                            const std::string &requestId,
                                            const std::string &customer, const Document &document)
{
    return admitWithin(request, requestId, customer, document, m_context.settings.caps);
}

AdmittedCompletion CompletionService::admitJob(const CompletionRequest &request,
                                               const std::string &jobId,
                                               const std::string &customer,
                                               const Document &document)
{
    EntryCaps caps = m_context.settings.caps;
    caps.maximumDeadline = caps.maximumJobDeadline;
    return admitWithin(request, jobId, customer, document, caps);
}

AdmittedCompletion CompletionService::admitWithin(const CompletionRequest &request,
                                                  const std::string &requestId,
                                                  const std::string &customer,
                                                  const Document &document, const EntryCaps &caps)
{
    AdmittedCompletion admitted {
        .order = makeOrder(request, m_estimator.estimate(request.model, request.prompt.size()),
                           requestId, customer, document, caps, m_context.clock.now()),
        .selection = {},
    };
    const CompletionOrder &order = admitted.order;
    admitted.selection = m_directory.select({
            .model = order.model,
            .prompt = order.prompt,
            .promptTokens = order.promptTokens,
            .outputTokens = m_estimator.expectedOutput(order.model, order.maximumTokens),
    });
    const RouteDecision &decision = admitted.selection.decision;
    if (!admitted.selection && decision.refusal != RefusalReason::UpstreamMemory)
        throw ProblemError({ .reason = decision.refusal,
                             .detail = "No upstream of this model can be reached. Try again later.",
                             .retryAfterSeconds = 1 });
    m_admission.admit(order, decision);
    return admitted;
}

CompletionOutcome CompletionService::run(const AdmittedCompletion &admitted,
                                         CompletionReceiver &receiver)
{
    CompletionOutcome outcome;
    try {
        outcome = runAnywhere(admitted, receiver);
    } catch (const ProblemError &error) {
        outcome.problem = error.problem();
        outcome.problem->requestId = admitted.order.requestId;
    }
    settle(admitted, outcome);
    return outcome;
}

CompletionOutcome CompletionService::runAnywhere(const AdmittedCompletion &admitted,
                                                 CompletionReceiver &receiver)
{
    if (needsSeveralEngines(admitted))
        return m_longPrompts.run(admitted.order, receiver);
    if (admitted.selection)
        return m_relay.run(admitted.order, receiver, admitted.selection);
    const double cost = admitted.selection.decision.cost.chargedSeconds();
    return m_relay.run(admitted.order, receiver,
                       m_waitingRoom.wait(admitted.order, cost, receiver));
}

bool CompletionService::needsSeveralEngines(const AdmittedCompletion &admitted) const
{
    const RouteDecision &decision = admitted.selection.decision;
    return !admitted.selection && decision.cost.kvTokenCount > decision.largestPlannableKvTokens;
}

void CompletionService::settle(const AdmittedCompletion &admitted, const CompletionOutcome &outcome)
{
    const CompletionOrder &order = admitted.order;
    const PredictedCost &cost = admitted.selection.decision.cost;
    if (outcome.problem) {
        if (outcome.problem->ran == Ran::No)
            m_admission.refund(order.customer, cost.chargedSeconds());
        return;
    }
    // A segment's usage does not cover the prompt's parts on other engines.
    if (admitted.selection)
        m_estimator.observe(order.model, order.prompt.size(), outcome.usage.promptTokens);
    m_estimator.observeOutput(order.model, outcome.tokens);
    const std::int64_t expected = cost.kvTokenCount - order.promptTokens;
    if (expected <= 0)
        return;
    // The charge was for the expected output; the customer pays for the true one.
    const double decode = cost.chargedSeconds() - cost.prefillSeconds;
    const double share = static_cast<double>(outcome.tokens) / static_cast<double>(expected);
    m_admission.refund(order.customer, decode * (1 - share));
}

} // namespace Lavenderpick
