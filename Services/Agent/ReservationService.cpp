#include "Services/Agent/ReservationService.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Base/Problem.h"

#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

constexpr std::size_t bytesPerToken = 4;

} // namespace

ReservationService::ReservationService(Engine &engine, UpstreamGate &gate, const Clock &clock)
    : m_engine(engine)
    , m_gate(gate)
    , m_clock(clock)
{ }

void ReservationService::reserve(const ReservationRequest &request)
{
    const auto refusal = m_gate.reserve(request);
    releaseOrphans();
    if (refusal)
        throw ProblemError({ .reason = *refusal,
                             .detail = "This upstream does not reserve the memory. Release the "
                                       "other reservations and try again later.",
                             .retryAfterSeconds = 1 });
}

void ReservationService::release(const std::string &reservationId)
{
    m_gate.release(reservationId);
    maintain();
}

std::string ReservationService::prefill(const SegmentRequest &request)
{
    const auto tokens =
            static_cast<std::int64_t>((request.prompt.size() + bytesPerToken - 1) / bytesPerToken);
    std::string segmentId;
    {
        const std::lock_guard lock(m_mutex);
        // A repeated request after a lost response gets a new id; the former one's handle stays
        // with the reservation.
        segmentId = request.reservationId + "-" + std::to_string(request.index) + "-"
                + std::to_string(++m_segmentCount);
    }
    const auto refusal = m_gate.chargeSegment(segmentId, tokens, request.reservationId);
    if (refusal)
        throw ProblemError({ .reason = *refusal,
                             .detail = "The segment does not fit its reservation. Reserve again.",
                             .requestId = request.requestId });
    {
        const std::lock_guard lock(m_mutex);
        m_segments[segmentId] = request.reservationId;
    }
    std::string handle;
    try {
        handle = runSegment(segmentId, request);
    } catch (const Error &error) {
        log(LogLevel::Warning, "segment", error.what(), { { "request_id", request.requestId } });
    }
    m_gate.settleSegment(segmentId, handle);
    {
        const std::lock_guard lock(m_mutex);
        m_segments.erase(segmentId);
    }
    releaseOrphans();
    if (handle.empty())
        throw ProblemError({ .reason = RefusalReason::UpstreamFailed,
                             .detail = "The engine did not prefill the segment. Try again.",
                             .ran = Ran::Unknown,
                             .requestId = request.requestId });
    return handle;
}

std::string ReservationService::runSegment(const std::string &segmentId,
                                           const SegmentRequest &request)
{
    try {
        return m_engine.prefillSegment(
                { .id = segmentId, .prompt = request.prompt, .handles = request.handles },
                Milliseconds(request.deadlineMilliseconds));
    } catch (const Error &) {
        // The prefill may go on after a timeout.
        try {
            m_engine.cancel(segmentId);
        } catch (const Error &error) {
            log(LogLevel::Info, "segment", error.what());
        }
        throw;
    }
}

void ReservationService::maintain()
{
    m_gate.sweep();
    for (const auto &[segment, reservation] : segments()) {
        if (m_gate.holdsReservation(reservation))
            continue;
        try {
            m_engine.cancel(segment);
        } catch (const Error &error) {
            log(LogLevel::Info, "segment", error.what());
        }
    }
    releaseOrphans();
}

std::map<std::string, std::string> ReservationService::segments() const
{
    const std::lock_guard lock(m_mutex);
    return m_segments;
}

void ReservationService::releaseOrphans()
{
    for (const std::string &handle : m_gate.takeOrphanedHandles()) {
        try {
            m_engine.releaseHandle(handle);
        } catch (const Error &error) {
            // The inventory shows the handle once the engine responds again.
            log(LogLevel::Info, "reservation", error.what(), { { "handle", handle } });
        }
    }
}

} // namespace Lavenderpick
