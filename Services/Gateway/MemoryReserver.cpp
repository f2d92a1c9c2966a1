#include "Services/Gateway/MemoryReserver.h"

namespace Lavenderpick {

MemoryReserver::MemoryReserver(GatewayState &state, std::string requestId)
    : m_state(state)
    , m_requestId(std::move(requestId))
{ }

void MemoryReserver::reserve(const std::vector<MemoryReservation> &reservations,
                             FinishedCallback finished)
{
    // The request may release its reserver when it is told the result.
    const auto keepAlive = shared_from_this();
    m_finished = std::move(finished);
    m_pendingAnswers = reservations.size();
    m_renewAt = m_state.clock.now() + renewalInterval;
    for (const MemoryReservation &reservation : reservations) {
        const UpstreamRecord *record = m_state.upstreams.find(reservation.upstream);
        if (record == nullptr) {
            recordAnswer(false);
            continue;
        }
        const ActiveReservation activeReservation {
            .address = record->address,
            .tokens = reservation.tokens,
            .id = m_requestId + "-" + std::to_string(m_reservations.size())
        };
        m_reservations[reservation.upstream] = activeReservation;
        m_state.engineCalls.send(reservation.upstream, activeReservation.address,
                                 m_state.dialect.reserveMemory(activeReservation.id,
                                                               activeReservation.tokens,
                                                               reservationLifetime),
                                 [weak = weak_from_this()](bool accepted) {
                                     if (const auto self = weak.lock())
                                         self->recordAnswer(accepted);
                                 });
    }
}

void MemoryReserver::recordAnswer(bool accepted)
{
    m_allAccepted = m_allAccepted && accepted;
    if (m_pendingAnswers == 0 || --m_pendingAnswers > 0)
        return;
    const FinishedCallback finished = std::move(m_finished);
    m_finished = nullptr;
    if (finished)
        finished(m_allAccepted);
}

std::string MemoryReserver::reservationId(const std::string &upstream) const
{
    const auto found = m_reservations.find(upstream);
    return found == m_reservations.end() ? std::string() : found->second.id;
}

void MemoryReserver::checkTimeouts(TimePoint now)
{
    if (m_pendingAnswers > 0 || now < m_renewAt)
        return;
    m_renewAt = now + renewalInterval;
    for (const auto &[upstream, activeReservation] : m_reservations)
        m_state.engineCalls.send(upstream, activeReservation.address,
                                 m_state.dialect.reserveMemory(activeReservation.id,
                                                               activeReservation.tokens,
                                                               reservationLifetime),
                                 {});
}

void MemoryReserver::release()
{
    m_finished = nullptr;
    for (const auto &[upstream, activeReservation] : m_reservations)
        m_state.engineCalls.send(upstream, activeReservation.address,
                                 m_state.dialect.releaseMemory(activeReservation.id), {});
    m_reservations.clear();
}

} // namespace Lavenderpick
