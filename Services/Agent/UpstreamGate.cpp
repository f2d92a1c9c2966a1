#include "Services/Agent/UpstreamGate.h"

#include <algorithm>

namespace Lavenderpick {

UpstreamGate::UpstreamGate(const UpstreamAdmissionSettings &settings, const Clock &clock)
    : m_clock(clock)
    , m_admission(settings, m_ledger)
{
    update();
}

void UpstreamGate::applyPlan(const PlanEntry &plan, std::int64_t epoch)
{
    const std::lock_guard lock(m_mutex);
    m_plan.apply(plan, epoch, m_clock.now());
    update();
}

void UpstreamGate::moveCompleted()
{
    const std::lock_guard lock(m_mutex);
    m_plan.moveCompleted();
    update();
}

void UpstreamGate::terminate()
{
    const std::lock_guard lock(m_mutex);
    m_plan.terminate();
    update();
}

void UpstreamGate::supersede()
{
    const std::lock_guard lock(m_mutex);
    m_superseded = true;
    update();
}

void UpstreamGate::setReady(bool ready)
{
    const std::lock_guard lock(m_mutex);
    m_ready = ready;
    update();
}

void UpstreamGate::setEngineLoad(const std::optional<EngineLoad> &load)
{
    const std::lock_guard lock(m_mutex);
    m_engineResponds = load.has_value();
    if (load) {
        m_engineLoad = *load;
        m_ledger.setCapacity(load->kvCapacity);
    }
    update();
}

void UpstreamGate::setModels(const std::set<std::string> &models)
{
    const std::lock_guard lock(m_mutex);
    m_admission.setModels(models);
}

std::optional<RefusalReason> UpstreamGate::refusal() const
{
    const std::lock_guard lock(m_mutex);
    return refusalLocked();
}

PlanFollower UpstreamGate::plan() const
{
    const std::lock_guard lock(m_mutex);
    return m_plan;
}

UpstreamAdmission::Result UpstreamGate::request(const AdmissionRequest &request)
{
    const std::lock_guard lock(m_mutex);
    return m_admission.request(request, m_clock.now());
}

std::vector<std::string> UpstreamGate::startWaiting()
{
    const std::lock_guard lock(m_mutex);
    return m_admission.startWaiting(m_clock.now());
}

std::vector<std::string> UpstreamGate::dropExpired()
{
    const std::lock_guard lock(m_mutex);
    return m_admission.dropExpired(m_clock.now());
}

void UpstreamGate::finished(const std::string &attemptId)
{
    const std::lock_guard lock(m_mutex);
    m_admission.finished(attemptId);
}

void UpstreamGate::observePrefill(std::int64_t tokens, Duration duration)
{
    const std::lock_guard lock(m_mutex);
    m_admission.observePrefill(tokens, duration);
}

bool UpstreamGate::isLong(std::int64_t prefillTokens) const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.isLong(prefillTokens);
}

std::optional<RefusalReason> UpstreamGate::reserve(const ReservationRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const auto refusal = refusalLocked();
    const bool renewal = m_ledger.holdsReservation(request.reservationId);
    if (refusal && !(refusal == RefusalReason::Draining && renewal))
        return refusal;
    switch (m_ledger.reserve(request, m_clock.now())) {
    case LedgerResult::Granted:
        return std::nullopt;
    case LedgerResult::StaleOwner:
        return RefusalReason::Forbidden;
    default:
        return RefusalReason::UpstreamMemory;
    }
}

bool UpstreamGate::release(const std::string &reservationId)
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.release(reservationId);
}

void UpstreamGate::sweep()
{
    const std::lock_guard lock(m_mutex);
    m_ledger.sweep(m_clock.now());
}

bool UpstreamGate::holdsReservation(const std::string &reservationId) const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.holdsReservation(reservationId);
}

std::optional<RefusalReason> UpstreamGate::chargeSegment(const std::string &segmentId,
                                                         std::int64_t tokens,
                                                         const std::string &reservationId)
{
    const std::lock_guard lock(m_mutex);
    const auto refusal = refusalLocked();
    if (refusal && refusal != RefusalReason::Draining)
        return refusal;
    if (m_ledger.charge(segmentId, tokens, reservationId) == LedgerResult::Granted)
        return std::nullopt;
    return RefusalReason::UpstreamMemory;
}

void UpstreamGate::settleSegment(const std::string &segmentId, const std::string &handle)
{
    const std::lock_guard lock(m_mutex);
    if (handle.empty())
        m_ledger.discharge(segmentId);
    else
        m_ledger.chargeHandle(segmentId, handle);
}

std::vector<std::string> UpstreamGate::takeOrphanedHandles()
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.takeOrphanedHandles();
}

std::vector<std::string> UpstreamGate::claimedHandles() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.claimedHandles();
}

UpstreamGate::Load UpstreamGate::load() const
{
    const std::lock_guard lock(m_mutex);
    return { .accepting = !refusalLocked(),
             .engineResponds = m_engineResponds,
             .engine = m_engineLoad,
             .models = m_admission.models(),
             // The engine's report lags; what is charged here is known at once.
             .kvTokensInUse =
                     std::max(m_engineResponds ? m_engineLoad.kvTokensInUse : 0, m_ledger.used()),
             .kvCapacity = m_ledger.capacity(),
             .running = m_admission.runningCount(),
             .waiting = m_admission.waitingCount(),
             .waitingPrefillTokens = m_admission.waitingPrefillTokens(),
             .waitingShortTokens = m_admission.waitingShortPrefillTokens(),
             .reservations = m_ledger.reservationCount() };
}

std::optional<RefusalReason> UpstreamGate::refusalLocked() const
{
    if (m_superseded || !m_ready)
        return RefusalReason::NotReady;
    if (!m_plan.accepts())
        return RefusalReason::Draining;
    if (!m_engineResponds)
        return RefusalReason::UpstreamFailed;
    return std::nullopt;
}

void UpstreamGate::update()
{
    m_admission.setRefusing(refusalLocked());
}

} // namespace Lavenderpick
