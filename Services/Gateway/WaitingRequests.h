#pragma once

#include "lavenderpick/Forward/PlacementQueue.h"

#include <asio.hpp>
#include <cstdint>
#include <map>

namespace Lavenderpick {

/// A request that waits for its placement.
class WaitingRequest
{
public:
    virtual ~WaitingRequest() = default;

    /// Places the request if that is good now; it has left the queue, and may enter it again.
    virtual void retryPlacement() = 0;
};

/// Runs a `PlacementQueue` on the event loop: asks its requests again every few milliseconds.
class WaitingRequests
{
public:
    /// An engine's pass takes some 50 ms; peers' placements arrive within milliseconds.
    static constexpr std::chrono::milliseconds retryPeriod { 10 };

    explicit WaitingRequests(asio::io_context &context)
        : m_timer(context)
    { }

    std::uint64_t add(WaitingRequest &request, TimePoint latestStart);
    void remove(std::uint64_t id);
    std::size_t size() const { return m_queue.size(); }

private:
    void schedule();
    void retryPlacements();

    PlacementQueue m_queue;
    std::map<std::uint64_t, WaitingRequest *> m_requests;
    asio::steady_timer m_timer;
    std::uint64_t m_lastId { 0 };
    bool m_scheduled { false };
};

} // namespace Lavenderpick
