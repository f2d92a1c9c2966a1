#include "Services/Entry/AdmissionControl.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

std::string detailOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::CustomerBudget:
        return "Your budget is used up for now. Send less or wait.";
    case RefusalReason::DeadlineTooShort:
        return "The request can't finish before its deadline. Allow more time.";
    default:
        return "The fleet is overloaded and serves higher priorities first. Try again later.";
    }
}

} // namespace

AdmissionControl::AdmissionControl(const EntryContext &context)
    : m_context(context)
    , m_admission({}, m_budgets)
{ }

void AdmissionControl::admit(const CompletionOrder &order, const RouteDecision &prediction)
{
    const CallerAdmissionRequest request = requestFor(order, prediction);
    CallerAdmissionDecision decision;
    {
        const std::lock_guard lock(m_mutex);
        decision = m_admission.admit(request, m_context.clock.now());
    }
    if (!decision.admitted())
        throw ProblemError({ .reason = *decision.refusal,
                             .detail = detailOf(*decision.refusal),
                             .retryAfterSeconds = decision.retryAfterSeconds });
}

void AdmissionControl::refund(const std::string &customer, double chargedSeconds)
{
    const std::lock_guard lock(m_mutex);
    m_budgets.refund(customer, chargedSeconds);
}

void AdmissionControl::followDocument()
{
    const auto document = m_context.replica.current();
    const DocumentSection &customers = document->section(SectionName::customers);
    const std::lock_guard lock(m_mutex);
    if (customers.version == m_customersVersion)
        return;
    for (const auto &[name, entry] : customers.entries) {
        const auto before = m_customers.entries.find(name);
        if (before != m_customers.entries.end() && before->second.version == entry.version)
            continue;
        takeOver(name, *document);
    }
    for (const auto &[name, entry] : m_customers.entries) {
        if (!customers.entries.contains(name))
            m_budgets.removeLimit(name);
    }
    m_customers = customers;
    m_customersVersion = customers.version;
}

void AdmissionControl::takeOver(const std::string &name, const Document &document)
{
    try {
        if (const auto customer = document.customer(name))
            m_budgets.setLimit(name,
                               { .costPerSecond = customer->budget, .weight = customer->weight });
    } catch (const Error &error) {
        // One entry that can't be read must not keep the others from being taken over.
        log(LogLevel::Warning, "admission", error.what());
    }
}

void AdmissionControl::adjust(const FleetLoad &load, std::size_t entries)
{
    const std::lock_guard lock(m_mutex);
    m_budgets.setEntryCount(std::max<std::size_t>(entries, 1));
    m_budgets.adjustLending(std::max(load.pressure, load.shortPromptPressure),
                            m_context.clock.now());
    m_admission.setPressure(load.pressure);
}

void AdmissionControl::fillGossip(Gossip &gossip)
{
    const std::lock_guard lock(m_mutex);
    m_budgets.fillGossip(gossip, m_context.clock.now());
}

void AdmissionControl::mergeGossip(const Gossip &received, Gossip *answer)
{
    const std::lock_guard lock(m_mutex);
    m_budgets.mergeGossip(received, answer, m_context.clock.now());
}

CallerAdmissionRequest AdmissionControl::requestFor(const CompletionOrder &order,
                                                    const RouteDecision &prediction) const
{
    // Admission wants 0 for the priority that is shed last; the document numbers them the other way
    // round and may leave gaps.
    const auto document = m_context.replica.current();
    int priorityRank = 0;
    int priorityCount = 0;
    const auto own = document->priority(order.priority);
    for (const auto &[name, entry] : document->section(SectionName::priorities).entries) {
        const auto other = document->priority(name);
        ++priorityCount;
        priorityRank += own && other && other->shedOrder > own->shedOrder ? 1 : 0;
    }
    const PredictedCost &cost = prediction.cost;
    return {
        .customer = order.customer,
        .priorityRank = priorityRank,
        .priorityCount = std::max(priorityCount, 1),
        .chargedSeconds = cost.chargedSeconds(),
        .executionSeconds = cost.prefillSeconds + cost.decodeSeconds,
        .waitSeconds = prediction.waitSeconds,
        .remainingSeconds =
                std::chrono::duration<double>(order.deadline - m_context.clock.now()).count(),
    };
}

} // namespace Lavenderpick
