#pragma once

#include "lavenderpick/Upstream/Engine.h"
#include "lavenderpick/Upstream/PlanFollower.h"
#include "lavenderpick/Upstream/ReservationLedger.h"
#include "lavenderpick/Upstream/UpstreamAdmission.h"

#include <functional>
#include <mutex>
#include <optional>

namespace Lavenderpick {

/// The agent's decisions about new work: plan, engine's health, memory and admission. Safe for
/// concurrent use.
class UpstreamGate
{
public:
    UpstreamGate(const UpstreamAdmissionSettings &settings, const Clock &clock);

    void applyPlan(const PlanEntry &plan, std::int64_t epoch);
    void moveCompleted();
    void terminate();

    /// Another agent holds the upstream: this one refuses everything from now on.
    void supersede();
    void setReady(bool ready);

    /// The engine's last report, or nothing while it does not respond.
    void setEngineLoad(const std::optional<EngineLoad> &load);
    void setModels(const std::set<std::string> &models);

    /// Why new work is refused at present, if it is.
    std::optional<RefusalReason> refusal() const;
    PlanFollower plan() const;

    UpstreamAdmission::Result request(const AdmissionRequest &request);
    std::vector<std::string> startWaiting();
    std::vector<std::string> dropExpired();
    void finished(const std::string &attemptId);
    void observePrefill(std::int64_t tokens, Duration duration);
    bool isLong(std::int64_t prefillTokens) const;

    /// New reservations are refused like new work; renewals are not.
    std::optional<RefusalReason> reserve(const ReservationRequest &request);
    bool release(const std::string &reservationId);

    /// Ends expired reservations.
    void sweep();
    bool holdsReservation(const std::string &reservationId) const;
    std::optional<RefusalReason> chargeSegment(const std::string &segmentId, std::int64_t tokens,
                                               const std::string &reservationId);

    /// The segment ended, with a handle unless it failed.
    void settleSegment(const std::string &segmentId, const std::string &handle);
    std::vector<std::string> takeOrphanedHandles();
    std::vector<std::string> claimedHandles() const;

    struct Load
    {
        bool accepting { false };
        bool engineResponds { false };
        EngineLoad engine {};
        std::set<std::string> models {};
        std::int64_t kvTokensInUse { 0 };
        std::int64_t kvCapacity { 0 };
        std::size_t running { 0 };
        std::size_t waiting { 0 };
        std::int64_t waitingPrefillTokens { 0 };
        std::int64_t waitingShortTokens { 0 };
        std::size_t reservations { 0 };
    };

    Load load() const;

private:
    std::optional<RefusalReason> refusalLocked() const;
    void update();

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    ReservationLedger m_ledger { 0 };
    UpstreamAdmission m_admission;
    PlanFollower m_plan;
    bool m_ready { false };
    bool m_superseded { false };
    bool m_engineResponds { false };
    EngineLoad m_engineLoad;
};

} // namespace Lavenderpick
