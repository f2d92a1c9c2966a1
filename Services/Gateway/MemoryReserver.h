#pragma once

#include "Services/Gateway/GatewayState.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Reserves memory at helper engines for one prompt that does not fit at a single engine, renews
/// the reservations while the request runs, and releases them.
///
/// A reservation expires after `reservationLifetime`, so that its memory is soon free again when
/// this process dies or the engine can't be reached. Until the request uses the memory, no renewal
/// extends a reservation to the limit of `GatewaySettings::unusedReservationLimit`.
class MemoryReserver : public std::enable_shared_from_this<MemoryReserver>
{
public:
    /// The users' engines must be free again 4 s after the last use, so reservations expire
    /// earlier.
    static constexpr Duration reservationLifetime { Milliseconds(3'000) };
    static constexpr Duration renewalInterval { Milliseconds(1'000) };
    /// From when on the engines are asked whether the memory is used, before the limit. An engine
    /// may prefill a prompt for many seconds before its first event.
    static constexpr Duration questionLead { Milliseconds(3'000) };
    /// How long before the limit a request that does not use its memory loses it. A renewal after a
    /// late first event must still arrive, and a release after that time takes a round trip.
    static constexpr Duration unusedMargin { Milliseconds(1'000) };
    /// Until a reservation that is not used ends by itself, if its release is lost.
    static constexpr Duration expiryMargin { Milliseconds(500) };

    using FinishedCallback = std::function<void(bool reserved)>;

    MemoryReserver(GatewayState &state, std::string requestId);

    /// Asks all engines in parallel; `finished` is called once, with true if all accepted, or with
    /// false as soon as one refuses.
    void reserve(const std::vector<MemoryReservation> &reservations, FinishedCallback finished);

    /// The id of the reservation at the upstream; empty if there is none.
    std::string reservationId(const std::string &upstream) const;

    /// The request has begun to use the memory: an event came, or an engine says so.
    void recordUse() { m_used = true; }

    /// Whether the request has not used the memory for so long that it must be released.
    bool isUnusedForTooLong(TimePoint now) const;

    /// Renews due reservations.
    void checkTimeouts(TimePoint now);

    /// Releases all reservations, including those whose call was never answered. One that is
    /// accepted afterwards is released again, since the engine may get the calls in either order.
    void release();

private:
    struct ActiveReservation
    {
        std::string address;
        std::int64_t tokens { 0 };
        std::string id;
    };

    /// How long a reservation that is made or renewed now may last.
    Duration lifetime() const;
    void send(const std::string &upstream, const ActiveReservation &reservation);
    void recordAnswer(const std::string &upstream, const ActiveReservation &reservation,
                      bool accepted);
    void recordResult(bool accepted);
    /// Asks each engine whether the request uses the memory reserved there.
    void askForUse();
    static void sendRelease(GatewayState &state, const std::string &upstream,
                            const ActiveReservation &reservation);

    GatewayState &m_state;
    std::string m_requestId;
    std::map<std::string, ActiveReservation> m_reservations; ///< By upstream.
    FinishedCallback m_finished;
    std::size_t m_pendingAnswers { 0 };
    TimePoint m_reservedAt {};
    TimePoint m_renewAt {};
    bool m_used { false };
};

} // namespace Lavenderpick
