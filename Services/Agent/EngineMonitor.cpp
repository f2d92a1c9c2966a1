#include "Services/Agent/EngineMonitor.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace Lavenderpick {

namespace {

constexpr Seconds fenceLimit { 5 };

} // namespace

EngineMonitor::EngineMonitor(const AgentSettings &settings, Engine &engine, UpstreamGate &gate,
                             AttemptService &attempts, ReservationService &reservations,
                             const DocumentReplica &document, UpstreamFence &fence,
                             const Clock &clock)
    : m_settings(settings)
    , m_engine(engine)
    , m_gate(gate)
    , m_attempts(attempts)
    , m_reservations(reservations)
    , m_document(document)
    , m_fence(fence)
    , m_clock(clock)
    , m_lastResponse(clock.now())
    , m_lastPoll(clock.now())
{ }

void EngineMonitor::pollLoad()
{
    noticePause();
    try {
        m_gate.setEngineLoad(m_engine.load());
        m_lastResponse = m_clock.now();
    } catch (const Error &error) {
        m_gate.setEngineLoad(std::nullopt);
        log(LogLevel::Warning, "engine", error.what());
        if (m_clock.now() - m_lastResponse >= m_settings.caps.engineSilence)
            m_attempts.failAll(RefusalReason::UpstreamFailed);
    }
    m_lastPoll = m_clock.now();
}

void EngineMonitor::reconcile()
{
    try {
        if (m_raisedFence == 0)
            raiseFence();
        if (isHandedOver() || m_isSuperseded)
            return;
        const EngineState state = m_engine.state();
        std::set<std::string> models;
        for (const auto &[name, version] : state.models)
            models.insert(name);
        m_gate.setModels(models);
        releaseUnclaimed();
        order();
    } catch (const Error &error) {
        log(LogLevel::Warning, "engine", error.what());
    }
}

// A process that was paused may have lost the upstream to another agent meanwhile.
void EngineMonitor::noticePause()
{
    const Duration gap = m_clock.now() - m_lastPoll;
    if (m_raisedFence == 0 || gap <= OrderController::longestPause + m_settings.loadPeriod)
        return;
    log(LogLevel::Warning, "engine", "This process was paused",
        { { "pause_ms", toMilliseconds(gap) } });
    try {
        readFence();
    } catch (const Error &error) {
        // Before an order or release the fence is read again.
        log(LogLevel::Warning, "engine", error.what());
    }
}

void EngineMonitor::raiseFence()
{
    const bool isFirst = !m_hasTriedFence;
    m_hasTriedFence = true;
    const auto fence = m_fence.raise(fenceLimit);
    if (!fence) {
        if (isFirst)
            m_raiseFailedAt = m_clock.now();
        log(LogLevel::Warning, "engine",
            "The fence could not be raised; no orders are sent until the store responds");
        return;
    }
    m_orders.setFence(*fence);
    m_orders.observeFence(*fence, m_clock.now());
    m_raisedFence = *fence;
    log(LogLevel::Info, "engine", "The fence was raised", { { "fence", *fence } });
}

// Whether this process still is the upstream's agent, as known for at most two seconds.
bool EngineMonitor::holdsFence()
{
    if (m_raisedFence == 0)
        return false;
    if (m_orders.mustCheckFence(m_clock.now()))
        readFence();
    return !m_isSuperseded && !m_orders.mustCheckFence(m_clock.now());
}

// The fence is read after the inventory: an agent serves only once it has tried to raise the fence,
// so whatever a newer agent has at the engine shows in the fence too. A fresh but earlier check
// does not do; it let a former agent cancel the streams of a newer one.
bool EngineMonitor::mayRelease()
{
    const auto raiseFailedAt = std::exchange(m_raiseFailedAt, std::nullopt);
    if (m_raisedFence == 0) {
        // A process that has just started is the upstream's newest agent, also while the store is
        // down.
        return raiseFailedAt && m_clock.now() - *raiseFailedAt <= OrderController::longestPause;
    }
    readFence();
    return holdsFence();
}

void EngineMonitor::readFence()
{
    m_orders.observeFence(m_fence.read(), m_clock.now());
    if (!m_orders.isSuperseded() || m_isSuperseded)
        return;
    m_isSuperseded = true;
    m_gate.supersede();
    log(LogLevel::Error, "engine",
        "Another agent has raised the fence of this upstream. This one takes no more work; stop it",
        { { "upstream", m_settings.upstream.name } });
}

void EngineMonitor::releaseUnclaimed()
{
    const EngineInventory inventory = m_engine.inventory();
    InventoryReconciler::Claims claims { .streams = m_attempts.claims() };
    const auto segments = m_reservations.segments();
    claims.segmentsInFlight = segments.size();
    for (const auto &[segment, reservation] : segments)
        claims.streams.insert(segment);
    for (const std::string &handle : m_gate.claimedHandles())
        claims.handles.insert(handle);
    const EngineInventory releases = m_inventory.releases(inventory, claims);
    if (releases == EngineInventory {}) {
        m_raiseFailedAt.reset();
        return;
    }
    if (mayRelease())
        release(releases);
}

void EngineMonitor::release(const EngineInventory &releases)
{
    for (const std::string &stream : releases.streams)
        m_engine.cancel(stream);
    for (const std::string &handle : releases.handles)
        m_engine.releaseHandle(handle);
    m_released += releases.streams.size() + releases.handles.size();
    log(LogLevel::Info, "engine", "Unclaimed memory was released",
        { { "streams", releases.streams.size() }, { "handles", releases.handles.size() } });
}

void EngineMonitor::order()
{
    const PlanFollower plan = m_gate.plan();
    const bool moves = plan.plan().action == PlanAction::Move;
    const bool drained = m_attempts.openCount() == 0 && m_reservations.segments().empty()
            && m_gate.load().reservations == 0;
    if (moves && !plan.accepts() && !drained)
        return;
    const EngineState observed = m_engine.state();
    m_orders.setDesired(desiredState(observed, plan));
    const auto due = m_orders.ordersFor(observed, m_clock.now());
    if (!due.empty())
        readFence();
    for (const EngineOrder &order : due)
        send(order);
    if (moves && due.empty() && m_orders.isReached(observed))
        m_gate.moveCompleted();
}

void EngineMonitor::send(const EngineOrder &order)
{
    try {
        if (!holdsFence()) {
            m_orders.orderFailed(order);
            return;
        }
        const bool accepted = m_engine.order(order);
        log(accepted ? LogLevel::Info : LogLevel::Warning, "engine",
            accepted ? "An order was sent" : "The engine rejected an order's fence",
            order.toJson());
        if (accepted)
            return;
        m_orders.orderFailed(order);
        readFence();
    } catch (const Error &error) {
        m_orders.orderFailed(order);
        log(LogLevel::Warning, "engine", error.what());
    }
}

DesiredEngineState EngineMonitor::desiredState(const EngineState &observed,
                                               const PlanFollower &plan) const
{
    const auto document = m_document.current();
    const std::int64_t modelsVersion = document->section(SectionName::models).version;
    DesiredEngineState desired { .adapters = observed.adapters,
                                 .epoch = std::max(modelsVersion, plan.epoch()) };
    std::string model = m_settings.upstream.model;
    if (plan.plan().action == PlanAction::Move) {
        const MoveTarget target = MoveTarget::parse(plan.plan().to);
        desired.role = target.role;
        if (!target.model.empty())
            model = target.model;
    }
    if (model.empty()) {
        for (const auto &[name, version] : observed.models)
            desired.models[name] = wantedVersion(name, observed);
        return desired;
    }
    desired.models[model] = wantedVersion(model, observed);
    const auto entry = document->model(model);
    if (!entry)
        return desired;
    desired.adapters.clear();
    for (const std::string &adapter : entry->adapters)
        desired.adapters[adapter] = "";
    return desired;
}

// The first version of the document's entry. A model that the document does not name keeps what it
// has, since an edit that removes it must not stop work that runs.
std::string EngineMonitor::wantedVersion(const std::string &model,
                                         const EngineState &observed) const
{
    const auto entry = m_document.current()->model(model);
    if (entry && !entry->versions.empty())
        return entry->versions.front();
    const auto present = observed.models.find(model);
    return present == observed.models.end() ? "" : present->second;
}

bool EngineMonitor::isHandedOver() const
{
    return m_gate.plan().leavesFirm() && m_attempts.openCount() == 0;
}

} // namespace Lavenderpick
