#pragma once

#include "Services/Entry/AdmissionControl.h"
#include "Services/Entry/AgentDirectory.h"
#include "Services/Entry/CompletionRelay.h"
#include "Services/Entry/CompletionRequest.h"
#include "Services/Entry/LongPromptRunner.h"
#include "Services/Entry/TokenEstimator.h"
#include "Services/Entry/WaitingRoom.h"

namespace Lavenderpick {

/// A completion whose cost is charged to its customer.
struct AdmittedCompletion
{
    CompletionOrder order;
    SelectedUpstream selection; ///< As predicted on admission.
};

/// Takes completions from admission to their end, on one engine or several. Safe for concurrent
/// use.
class CompletionService
{
public:
    CompletionService(const EntryContext &context, AgentDirectory &directory,
                      AdmissionControl &admission, WaitingRoom &waitingRoom, CompletionRelay &relay,
                      LongPromptRunner &longPrompts);

    /// R1 and R2. Throws `ProblemError` when the request is refused; it did not run then.
    AdmittedCompletion admit(const CompletionRequest &request, const std::string &requestId,
                             const std::string &customer, const Document &document);

    /// Like `admit` for a job, whose deadline may be days away.
    AdmittedCompletion admitJob(const CompletionRequest &request, const std::string &jobId,
                                const std::string &customer, const Document &document);

    /// R3 to R9. Blocks until the completion ended.
    CompletionOutcome run(const AdmittedCompletion &admitted, CompletionReceiver &receiver);

private:
    AdmittedCompletion admitWithin(const CompletionRequest &request, const std::string &requestId,
                                   const std::string &customer, const Document &document,
                                   const EntryCaps &caps);
    CompletionOutcome runAnywhere(const AdmittedCompletion &admitted, CompletionReceiver &receiver);
    bool needsSeveralEngines(const AdmittedCompletion &admitted) const;
    void settle(const AdmittedCompletion &admitted, const CompletionOutcome &outcome);

    EntryContext m_context;
    AgentDirectory &m_directory;
    AdmissionControl &m_admission;
    WaitingRoom &m_waitingRoom;
    CompletionRelay &m_relay;
    LongPromptRunner &m_longPrompts;
    TokenEstimator m_estimator;
};

} // namespace Lavenderpick
