#pragma once

#include "Services/Agent/UpstreamGate.h"
#include "lavenderpick/Protocol/AttemptMessages.h"

#include <map>
#include <mutex>
#include <string>

namespace Lavenderpick {

/// Serves `/internal/reservations` and `/internal/segments`. Safe for concurrent use.
class ReservationService
{
public:
    ReservationService(Engine &engine, UpstreamGate &gate, const Clock &clock);

    /// Reserves or renews. Throws `ProblemError` when it is refused.
    void reserve(const ReservationRequest &request);
    void release(const std::string &reservationId);

    /// Prefills a segment and returns its handle; blocks as long as the engine takes. Throws
    /// `ProblemError`.
    std::string prefill(const SegmentRequest &request);

    /// Ends expired reservations, cancels their segments and releases their handles.
    void maintain();

    /// Segments under way.
    std::map<std::string, std::string> segments() const;

private:
    std::string runSegment(const std::string &segmentId, const SegmentRequest &request);
    void releaseOrphans();

    Engine &m_engine;
    UpstreamGate &m_gate;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_segments; ///< Reservations by segment id.
    std::uint64_t m_segmentCount { 0 };
};

} // namespace Lavenderpick
