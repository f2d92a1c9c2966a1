#include "lavenderpick/Upstream/ReservationLedger.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Lavenderpick {

ReservationOwner ReservationOwner::parse(const std::string &text)
{
    const std::size_t slash = text.rfind('/');
    std::int64_t incarnation = 0;
    if (slash != std::string::npos) {
        const char *end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + slash + 1, end, incarnation);
        if (parsed.ec == std::errc() && parsed.ptr == end)
            return { .name = text.substr(0, slash), .incarnation = incarnation };
    }
    return { .name = text };
}

ReservationLedger::ReservationLedger(std::int64_t capacity)
    : m_capacity(capacity)
{ }

std::int64_t ReservationLedger::used() const
{
    std::map<std::string, std::int64_t> charged;
    for (const auto &[id, charge] : m_charges)
        charged[charge.reservationId] += charge.tokens;
    std::int64_t tokens = charged[{}];
    for (const auto &[id, reservation] : m_reservations)
        tokens += std::max(reservation.tokens, charged[id]);
    return tokens;
}

LedgerResult ReservationLedger::reserve(const ReservationRequest &request, TimePoint now)
{
    const ReservationOwner owner = ReservationOwner::parse(request.owner);
    if (!dropEarlierIncarnations(owner))
        return LedgerResult::StaleOwner;
    const auto existing = m_reservations.find(request.reservationId);
    std::int64_t held = 0;
    if (existing != m_reservations.end()) {
        if (existing->second.owner != owner)
            return LedgerResult::StaleOwner;
        held = std::max(existing->second.tokens, chargedTo(request.reservationId));
    }
    const std::int64_t wanted = std::max(request.tokens, chargedTo(request.reservationId));
    if (wanted > held && wanted - held > available())
        return LedgerResult::NoMemory;
    m_reservations[request.reservationId] = {
        .owner = owner,
        .tokens = request.tokens,
        .expiresAt = now + Milliseconds(request.ttlMilliseconds),
    };
    return LedgerResult::Granted;
}

bool ReservationLedger::release(const std::string &reservationId)
{
    if (m_reservations.erase(reservationId) == 0)
        return false;
    for (auto charge = m_charges.begin(); charge != m_charges.end();) {
        if (charge->second.reservationId != reservationId) {
            ++charge;
            continue;
        }
        if (charge->second.isHandle) {
            m_orphanedHandles.push_back(charge->first);
            charge = m_charges.erase(charge);
            continue;
        }
        charge->second.reservationId.clear();
        ++charge;
    }
    return true;
}

LedgerResult ReservationLedger::charge(const std::string &chargeId, std::int64_t tokens,
                                       const std::string &reservationId)
{
    const auto reservation = m_reservations.find(reservationId);
    if (!reservationId.empty() && reservation == m_reservations.end())
        return LedgerResult::UnknownReservation;
    std::int64_t covered = 0;
    if (reservation != m_reservations.end())
        covered = std::max<std::int64_t>(0, reservation->second.tokens - chargedTo(reservationId));
    if (tokens - covered > available())
        return LedgerResult::NoMemory;
    m_charges[chargeId] = { .tokens = tokens, .reservationId = reservationId };
    return LedgerResult::Granted;
}

void ReservationLedger::discharge(const std::string &chargeId)
{
    m_charges.erase(chargeId);
}

void ReservationLedger::chargeHandle(const std::string &segmentChargeId, const std::string &handle)
{
    const auto segment = m_charges.find(segmentChargeId);
    if (segment == m_charges.end() || segment->second.reservationId.empty()) {
        m_orphanedHandles.push_back(handle);
        m_charges.erase(segmentChargeId);
        return;
    }
    Charge charge = segment->second;
    charge.isHandle = true;
    m_charges.erase(segment);
    m_charges[handle] = charge;
}

void ReservationLedger::sweep(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto &[id, reservation] : m_reservations) {
        if (reservation.expiresAt <= now)
            expired.push_back(id);
    }
    for (const std::string &id : expired)
        release(id);
}

std::vector<std::string> ReservationLedger::takeOrphanedHandles()
{
    return std::exchange(m_orphanedHandles, {});
}

std::vector<std::string> ReservationLedger::claimedHandles() const
{
    std::vector<std::string> handles;
    for (const auto &[id, charge] : m_charges) {
        if (charge.isHandle)
            handles.push_back(id);
    }
    return handles;
}

std::int64_t ReservationLedger::chargedTo(const std::string &reservationId) const
{
    std::int64_t tokens = 0;
    for (const auto &[id, charge] : m_charges) {
        if (charge.reservationId == reservationId)
            tokens += charge.tokens;
    }
    return tokens;
}

// Returns false when `owner` itself is an earlier incarnation than one that reserved.
bool ReservationLedger::dropEarlierIncarnations(const ReservationOwner &owner)
{
    std::vector<std::string> earlier;
    for (const auto &[id, reservation] : m_reservations) {
        if (reservation.owner.name != owner.name)
            continue;
        if (reservation.owner.incarnation > owner.incarnation)
            return false;
        if (reservation.owner.incarnation < owner.incarnation)
            earlier.push_back(id);
    }
    for (const std::string &id : earlier)
        release(id);
    return true;
}

} // namespace Lavenderpick
