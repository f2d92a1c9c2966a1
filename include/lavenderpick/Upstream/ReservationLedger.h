#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Protocol/AttemptMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Who reserves: an entry's name and the number of its start, written `name/incarnation`.
struct ReservationOwner
{
    std::string name;
    std::int64_t incarnation { 0 };

    bool operator==(const ReservationOwner &) const = default;

    /// Text without a slash and a number behind it is a name of incarnation 0.
    static ReservationOwner parse(const std::string &text);
};

enum class LedgerResult {
    Granted,
    NoMemory,
    UnknownReservation,
    StaleOwner, ///< A later incarnation of the owner has reserved here.
};

/// Charges an engine's KV memory to reservations and attempts, in tokens. Performs no I/O and is
/// not safe for concurrent use.
///
/// An attempt, segment or handle of a reservation is charged to it first. What outlives or exceeds
/// the reservation is charged by itself. `used()` is computed from what is held, so that no
/// sequence of events can leave a remainder.
class ReservationLedger
{
public:
    explicit ReservationLedger(std::int64_t capacity);

    void setCapacity(std::int64_t tokens) { m_capacity = tokens; }
    std::int64_t capacity() const { return m_capacity; }
    std::int64_t used() const;
    std::int64_t available() const { return m_capacity - used(); }

    /// Reserves or, with the id of a reservation of the same owner, renews and resizes. A new
    /// incarnation of an owner ends the reservations of its earlier ones; their handles are then
    /// in `takeOrphanedHandles`.
    LedgerResult reserve(const ReservationRequest &request, TimePoint now);

    /// Returns false when there is no such reservation.
    bool release(const std::string &reservationId);

    /// Charges `tokens` under the name `chargeId`, to the reservation unless its id is empty.
    LedgerResult charge(const std::string &chargeId, std::int64_t tokens,
                        const std::string &reservationId);
    void discharge(const std::string &chargeId);

    /// Turns the charge of a finished segment into that of its handle. When the reservation has
    /// ended meanwhile, the handle is orphaned at once.
    void chargeHandle(const std::string &segmentChargeId, const std::string &handle);

    /// Ends reservations that expired.
    void sweep(TimePoint now);

    /// Handles whose reservation has ended, to be released at the engine; each is returned once.
    std::vector<std::string> takeOrphanedHandles();

    /// Handles that belong to a reservation.
    std::vector<std::string> claimedHandles() const;
    std::size_t reservationCount() const { return m_reservations.size(); }
    bool holdsReservation(const std::string &id) const { return m_reservations.contains(id); }

private:
    struct Reservation
    {
        ReservationOwner owner;
        std::int64_t tokens { 0 };
        TimePoint expiresAt;
    };

    struct Charge
    {
        std::int64_t tokens { 0 };
        std::string reservationId; ///< Empty once the reservation has ended.
        bool isHandle { false };
    };

    std::int64_t chargedTo(const std::string &reservationId) const;
    bool dropEarlierIncarnations(const ReservationOwner &owner);

    std::int64_t m_capacity;
    std::map<std::string, Reservation> m_reservations;
    std::map<std::string, Charge> m_charges;
    std::vector<std::string> m_orphanedHandles;
};

} // namespace Lavenderpick
