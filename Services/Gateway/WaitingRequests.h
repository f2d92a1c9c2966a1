#pragma once

#include "Services/Gateway/EventLoopTurns.h"
#include "lavenderpick/Forward/FairOrder.h"
#include "lavenderpick/Forward/PlacementQueue.h"

#include <asio.hpp>
#include <cstdint>
#include <map>

namespace Lavenderpick {

/// A request that waits to be placed at an upstream.
class WaitingRequest
{
public:
    virtual ~WaitingRequest() = default;

    /// Places the request if a good placement is available now. It was removed from the queue
    /// before and may be added again.
    virtual void retryPlacement() = 0;
};

/// Retries waiting requests every few milliseconds on the event loop, in the order of a `FairOrder`
/// if there is one, else in that of a `PlacementQueue`.
class WaitingRequests
{
public:
    /// An engine's scheduling pass takes some 50 ms; placements of peers arrive within
    /// milliseconds.
    static constexpr std::chrono::milliseconds retryPeriod { 10 };

    /// `order` may be null.
    WaitingRequests(asio::io_context &context, const Clock &clock, FairOrder *order)
        : m_clock(clock)
        , m_order(order)
        , m_turns(EventLoopTurns::of(context))
        , m_timer(context)
    { }

    std::uint64_t add(WaitingRequest &request, const CompetingRequest &competing);
    void remove(std::uint64_t id);
    std::size_t size() const { return m_queue.size(); }

private:
    void schedule();
    void retryPlacements();

    const Clock &m_clock;
    FairOrder *m_order;
    EventLoopTurns &m_turns;
    PlacementQueue m_queue;
    std::map<std::uint64_t, WaitingRequest *> m_requests;
    asio::steady_timer m_timer;
    std::uint64_t m_lastId { 0 };
    bool m_scheduled { false };
};

} // namespace Lavenderpick
