#pragma once

#include "Services/Gateway/GatewayState.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Reserves engine memory at helpers for one prompt that does not fit at one engine, renews it
/// while the request runs, and releases it.
///
/// A reservation ends by itself after `hold`, so that memory is free again soon when this process
/// dies or the engine can't be reached.
class MemoryReserver : public std::enable_shared_from_this<MemoryReserver>
{
public:
    /// The users' engines must be free 4 s after the last use.
    static constexpr Duration reservationLifetime { Milliseconds(3'000) };
    static constexpr Duration renewalInterval { Milliseconds(1'000) };

    using FinishedCallback = std::function<void(bool reserved)>;

    MemoryReserver(GatewayState &state, std::string requestId);

    /// Asks all engines at once; `finished` is called once, with true when all agreed.
    void reserve(const std::vector<MemoryReservation> &reservations, FinishedCallback finished);

    /// The id of the reservation at the upstream; empty where there is none.
    std::string reservationId(const std::string &upstream) const;

    /// Renews what is due and gives up on engines that do not answer.
    void checkTimeouts(TimePoint now);

    /// Releases all, also what was never answered.
    void release();

private:
    class ControlCall;

    struct ActiveReservation
    {
        std::string address;
        std::int64_t tokens { 0 };
        std::string id;
    };

    void sendControlCall(const std::string &upstream, const ActiveReservation &activeReservation,
                         const EngineCall &call, std::function<void(bool accepted)> done);
    void recordAnswer(bool accepted);

    GatewayState &m_state;
    std::string m_requestId;
    std::map<std::string, ActiveReservation> m_reservations; ///< By upstream.
    std::vector<std::shared_ptr<ControlCall>> m_controlCalls;
    FinishedCallback m_finished;
    std::size_t m_pendingAnswers { 0 };
    bool m_allAccepted { true };
    TimePoint m_renewAt {};
};

} // namespace Lavenderpick
