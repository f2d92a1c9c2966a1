#include "Services/Entry/ReservationKeeper.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Protocol/AttemptMessages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

// Three renewals fit into the lifetime, so that one or two may be lost.
constexpr Milliseconds lifetime { 30'000 };
constexpr Seconds renewalPeriod { 10 };
constexpr Seconds messageTimeout { 2 };

} // namespace

ReservationKeeper::ReservationKeeper(PeerClient &peers, std::string owner,
                                     std::string reservationId)
    : m_peers(peers)
    , m_owner(std::move(owner))
    , m_reservationId(std::move(reservationId))
    , m_thread([this] { renewUntilStopped(); })
{ }

ReservationKeeper::~ReservationKeeper()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
    for (const Held &held : m_held)
        release(held);
}

bool ReservationKeeper::reserve(const GroupMember &member, std::int64_t tokens, Duration timeout)
{
    const Held held { .address = member.address, .tokens = tokens };
    {
        const std::lock_guard lock(m_mutex);
        m_held.push_back(held);
    }
    return send(held, std::min<Duration>(timeout, messageTimeout));
}

bool ReservationKeeper::send(const Held &held, Duration timeout)
{
    const ReservationRequest message {
        .reservationId = m_reservationId,
        .owner = m_owner,
        .tokens = held.tokens,
        .ttlMilliseconds = lifetime.count(),
    };
    try {
        const HttpResponse response = m_peers.send(held.address,
                                                   { .method = "POST",
                                                     .path = "/internal/reservations",
                                                     .body = toJsonText(message.toJson()),
                                                     .timeout = timeout });
        return response.status == 200;
    } catch (const Error &error) {
        log(LogLevel::Info, "reservation", error.what(), { { "reservation_id", m_reservationId } });
        return false;
    }
}

void ReservationKeeper::release(const Held &held)
{
    try {
        m_peers.send(held.address,
                     { .method = "DELETE",
                       .path = "/internal/reservations/" + m_reservationId,
                       .timeout = messageTimeout });
    } catch (const Error &error) {
        log(LogLevel::Info, "reservation", error.what(), { { "reservation_id", m_reservationId } });
    }
}

void ReservationKeeper::renewUntilStopped()
{
    std::unique_lock lock(m_mutex);
    while (!m_changed.wait_for(lock, renewalPeriod, [this] { return m_stopping; })) {
        const std::vector<Held> held = m_held;
        lock.unlock();
        for (const Held &reservation : held)
            send(reservation, messageTimeout);
        lock.lock();
    }
}

} // namespace Lavenderpick
