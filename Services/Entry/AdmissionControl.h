#pragma once

#include "Services/Entry/AgentDirectory.h"
#include "Services/Entry/CompletionRelay.h"
#include "Services/Entry/EntryContext.h"
#include "lavenderpick/Limits/Admission.h"
#include "lavenderpick/Limits/CustomerBudgets.h"

#include <mutex>

namespace Lavenderpick {

/// The one lock around budgets and admission (R2). Safe for concurrent use.
class AdmissionControl
{
public:
    explicit AdmissionControl(const EntryContext &context);

    /// Charges the predicted cost of a completion. Throws `ProblemError` when it is refused.
    void admit(const CompletionOrder &order, const RouteDecision &prediction);

    /// Returns the charge of a completion that did not run.
    void refund(const std::string &customer, double chargedSeconds);

    /// Takes over the customers' limits when the document's section has changed. Call often.
    void followDocument();

    /// Call once a second with the fleet's pressure and the number of entries.
    void adjust(const FleetLoad &load, std::size_t entries);

    void fillGossip(Gossip &gossip);
    void mergeGossip(const Gossip &received, Gossip *answer);

private:
    void takeOver(const std::string &name, const Document &document);
    CallerAdmissionRequest requestFor(const CompletionOrder &order,
                                      const RouteDecision &prediction) const;

    EntryContext m_context;
    std::mutex m_mutex;
    CustomerBudgets m_budgets;
    Admission m_admission;
    std::int64_t m_customersVersion { -1 };
    DocumentSection m_customers; ///< As last taken over.
};

} // namespace Lavenderpick
