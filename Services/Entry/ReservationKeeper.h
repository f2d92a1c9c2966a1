#pragma once

#include "Services/Entry/LongPromptPlan.h"
#include "Services/Entry/PeerClient.h"
#include "lavenderpick/Base/Clock.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Lavenderpick {

/// Holds reservations of engine memory at agents: renews them until it is destroyed, then releases
/// them. What can't be released expires at the agents.
class ReservationKeeper
{
public:
    /// `owner` names this entry and its start; `reservationId` is the same at all agents.
    ReservationKeeper(PeerClient &peers, std::string owner, std::string reservationId);
    ~ReservationKeeper();

    ReservationKeeper(const ReservationKeeper &) = delete;
    ReservationKeeper &operator=(const ReservationKeeper &) = delete;

    const std::string &reservationId() const { return m_reservationId; }

    /// Returns whether the agent granted `tokens`. The reservation is released in any case, since a
    /// lost answer may hide a grant.
    bool reserve(const GroupMember &member, std::int64_t tokens, Duration timeout);

private:
    struct Held
    {
        std::string address;
        std::int64_t tokens;
    };

    bool send(const Held &held, Duration timeout);
    void release(const Held &held);
    void renewUntilStopped();

    PeerClient &m_peers;
    std::string m_owner;
    std::string m_reservationId;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Held> m_held;
    bool m_stopping { false };
    std::thread m_thread;
};

} // namespace Lavenderpick
