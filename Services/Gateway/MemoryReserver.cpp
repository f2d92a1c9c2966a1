#include "Services/Gateway/MemoryReserver.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

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
    m_reservedAt = m_state.clock.now();
    m_renewAt = m_reservedAt + renewalInterval;
    for (const MemoryReservation &reservation : reservations) {
        const UpstreamRecord *record = m_state.upstreams.find(reservation.upstream);
        if (record == nullptr) {
            recordResult(false);
            return; // The others would not be used.
        }
        const ActiveReservation activeReservation {
            .address = record->address,
            .tokens = reservation.tokens,
            .id = m_requestId + "-" + std::to_string(m_reservations.size())
        };
        m_reservations[reservation.upstream] = activeReservation;
        send(reservation.upstream, activeReservation);
    }
}

void MemoryReserver::send(const std::string &upstream, const ActiveReservation &reservation)
{
    // The answer may come after the request has ended and dropped this object.
    m_state.engineCalls.send(
            upstream, reservation.address,
            m_state.dialect.reserveMemory(reservation.id, reservation.tokens, lifetime()),
            [weak = weak_from_this(), &state = m_state, upstream,
             reservation](const EngineCalls::Answer &answer) {
                if (const auto self = weak.lock())
                    self->recordAnswer(upstream, reservation, answer.accepted);
                else if (answer.accepted)
                    sendRelease(state, upstream, reservation);
            });
}

void MemoryReserver::recordAnswer(const std::string &upstream, const ActiveReservation &reservation,
                                  bool accepted)
{
    if (!m_reservations.contains(upstream)) {
        if (accepted)
            sendRelease(m_state, upstream, reservation);
        return;
    }
    recordResult(accepted);
}

void MemoryReserver::recordResult(bool accepted)
{
    if (m_pendingAnswers > 0)
        --m_pendingAnswers;
    if (accepted && m_pendingAnswers > 0)
        return;
    const FinishedCallback finished = std::move(m_finished);
    m_finished = nullptr;
    if (finished)
        finished(accepted);
}

void MemoryReserver::sendRelease(GatewayState &state, const std::string &upstream,
                                 const ActiveReservation &reservation)
{
    state.engineCalls.send(upstream, reservation.address,
                           state.dialect.releaseMemory(reservation.id), {});
}

std::string MemoryReserver::reservationId(const std::string &upstream) const
{
    const auto found = m_reservations.find(upstream);
    return found == m_reservations.end() ? std::string() : found->second.id;
}

bool MemoryReserver::isUnusedForTooLong(TimePoint now) const
{
    return !m_used && now - m_reservedAt >= m_state.settings.unusedReservationLimit - unusedMargin;
}

Duration MemoryReserver::lifetime() const
{
    if (m_used)
        return reservationLifetime;
    const TimePoint latestEnd =
            m_reservedAt + m_state.settings.unusedReservationLimit - expiryMargin;
    return std::clamp<Duration>(latestEnd - m_state.clock.now(), Milliseconds(1),
                                reservationLifetime);
}

void MemoryReserver::checkTimeouts(TimePoint now)
{
    if (m_pendingAnswers > 0 || now < m_renewAt)
        return;
    m_renewAt = now + renewalInterval;
    for (const auto &[upstream, activeReservation] : m_reservations)
        send(upstream, activeReservation);
    if (!m_used && now - m_reservedAt >= m_state.settings.unusedReservationLimit - questionLead)
        askForUse();
}

void MemoryReserver::askForUse()
{
    for (const auto &[upstream, reservation] : m_reservations)
        m_state.engineCalls.send(
                upstream, reservation.address, m_state.dialect.reservationStates(),
                [weak = weak_from_this(), upstream = upstream,
                 id = reservation.id](const EngineCalls::Answer &answer) {
                    const auto self = weak.lock();
                    if (!self || !answer.accepted)
                        return;
                    try {
                        if (self->m_state.dialect.isReservationUsed(answer.body, id))
                            self->recordUse();
                    } catch (const Error &error) {
                        log(LogLevel::Warning, "reservation", error.what(),
                            { { "upstream", upstream }, { "reservation", id } });
                    }
                });
}

void MemoryReserver::release()
{
    m_finished = nullptr;
    const auto reservations = std::exchange(m_reservations, {});
    for (const auto &[upstream, activeReservation] : reservations)
        sendRelease(m_state, upstream, activeReservation);
}

} // namespace Lavenderpick
