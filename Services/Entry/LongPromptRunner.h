#pragma once

#include "Services/Entry/AgentDirectory.h"
#include "Services/Entry/CompletionRelay.h"
#include "Services/Entry/LongPromptPlan.h"
#include "Services/Entry/ReservationKeeper.h"
#include "lavenderpick/Retry/Backoff.h"

namespace Lavenderpick {

/// Runs completions whose prompt needs the memory of several engines (section 5.5). Safe for
/// concurrent use; each call blocks its thread.
class LongPromptRunner
{
public:
    LongPromptRunner(const EntryContext &context, PeerClient &peers, AgentDirectory &directory,
                     CompletionRelay &relay);

    /// Like `CompletionRelay::run`. Tries again with another group until the deadline.
    CompletionOutcome run(CompletionOrder order, CompletionReceiver &receiver);

private:
    CompletionOutcome runPlan(const CompletionOrder &order, CompletionReceiver &receiver,
                              LongPromptPlan &plan);
    CompletionOutcome decode(const CompletionOrder &order, CompletionReceiver &receiver,
                             LongPromptPlan &plan, const std::string &reservationId);
    void prefill(const CompletionOrder &order, LongPromptPlan &plan,
                 const std::string &reservationId);
    Duration prefillLimit(const CompletionOrder &order, const LongPromptPlan &plan) const;
    CompletionOutcome failure(const CompletionOrder &order, Problem problem) const;

    EntryContext m_context;
    PeerClient &m_peers;
    AgentDirectory &m_directory;
    CompletionRelay &m_relay;
    Backoff m_backoff;
    std::string m_owner;
};

} // namespace Lavenderpick
