#pragma once

#include "Services/Agent/AgentSettings.h"
#include "Services/Agent/AttemptService.h"
#include "Services/Agent/ReservationService.h"
#include "lavenderpick/Upstream/InventoryReconciler.h"
#include "lavenderpick/Upstream/OrderController.h"
#include "lavenderpick/Upstream/UpstreamFence.h"

#include <atomic>

namespace Lavenderpick {

/// Watches the engine: its load and health, what it holds, and its state against the document. The
/// functions run on one thread at a time, except those marked otherwise.
class EngineMonitor
{
public:
    EngineMonitor(const AgentSettings &settings, Engine &engine, UpstreamGate &gate,
                  AttemptService &attempts, ReservationService &reservations,
                  const DocumentReplica &document, UpstreamFence &fence, const Clock &clock);

    /// Reads the engine's load; call it every second.
    void pollLoad();

    /// Compares inventory and state and corrects them; call it every few seconds.
    void reconcile();

    /// May be called from any thread.
    bool isSuperseded() const { return m_isSuperseded; }
    std::int64_t fence() const { return m_raisedFence; }
    std::uint64_t releasedCount() const { return m_released; }

private:
    void noticePause();
    void raiseFence();
    bool holdsFence();
    bool mayRelease();
    void readFence();
    void releaseUnclaimed();
    void release(const EngineInventory &releases);
    void order();
    void send(const EngineOrder &order);
    DesiredEngineState desiredState(const EngineState &observed, const PlanFollower &plan) const;
    std::string wantedVersion(const std::string &model, const EngineState &observed) const;
    bool isHandedOver() const;

    AgentSettings m_settings;
    Engine &m_engine;
    UpstreamGate &m_gate;
    AttemptService &m_attempts;
    ReservationService &m_reservations;
    const DocumentReplica &m_document;
    UpstreamFence &m_fence;
    const Clock &m_clock;
    OrderController m_orders;
    InventoryReconciler m_inventory;
    std::optional<TimePoint> m_raiseFailedAt; ///< Set until the first inventory was handled.
    bool m_hasTriedFence { false };
    TimePoint m_lastResponse;
    TimePoint m_lastPoll;
    std::atomic<bool> m_isSuperseded { false };
    std::atomic<std::int64_t> m_raisedFence { 0 };
    std::atomic<std::uint64_t> m_released { 0 };
};

} // namespace Lavenderpick
