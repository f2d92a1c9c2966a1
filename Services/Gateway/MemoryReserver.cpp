#include "Services/Gateway/MemoryReserver.h"

#include "lavenderpick/Base/Log.h"

#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

// A hop between zones takes milliseconds; a request can't wait longer for its reservations.
constexpr Duration controlCallTimeout { Milliseconds(400) };
constexpr ResponseLimits controlCallLimits { .bytesBeforeBody = 65'536,
                                             .bodyBytes = 65'536,
                                             .totalTime = Milliseconds(800) };

} // namespace

/// One call to an engine's control interface; holds a reference to itself until it ends.
class MemoryReserver::ControlCall : public ResponseListener
{
public:
    ControlCall(GatewayState &state, std::string upstream, std::function<void(bool)> done)
        : m_state(state)
        , m_upstream(std::move(upstream))
        , m_done(std::move(done))
    {
        if (const UpstreamRecord *record = m_state.upstreams.find(m_upstream))
            m_record = *record;
    }

    void send(const std::shared_ptr<ControlCall> &self, const std::string &address,
              const EngineCall &call)
    {
        m_self = self;
        m_connection = m_state.pool.acquire(m_upstream, address);
        m_connection->setLimits(controlCallLimits);
        std::string head = call.method + " " + call.target + " HTTP/1.1\r\n";
        appendField("Host", address, head);
        appendField("Content-Type", "application/json", head);
        appendFraming(BodyFraming::Length, call.body.size(), head);
        head += "\r\n";
        m_connection->send(std::move(head), std::make_shared<const std::string>(call.body), false,
                           *this);
    }

    void checkTimeouts(TimePoint now)
    {
        if (m_self)
            m_connection->checkTimeouts(now, controlCallTimeout, controlCallTimeout);
    }

    bool isPending() const { return m_self != nullptr; }

    void headArrived(const ResponseHead &head) override
    {
        m_accepted = head.isSuccess();
        if (m_record)
            m_state.recordNotices(*m_record, head);
    }
    void bodyArrived(std::string_view) override { }

    void responseEnded() override
    {
        m_state.keepConnection(m_upstream, m_connection);
        finish(m_accepted);
    }

    void requestFailed(ConnectionFailure failure) override
    {
        log(LogLevel::Info, "reservation", "an engine did not answer a control call",
            { { "upstream", m_upstream }, { "failure", toString(failure) } });
        finish(false);
    }

private:
    void finish(bool accepted)
    {
        const auto self = std::move(m_self);
        if (m_done)
            m_done(accepted);
    }

    GatewayState &m_state;
    std::string m_upstream;
    std::optional<UpstreamRecord> m_record; ///< As listed when the call was sent.
    std::function<void(bool)> m_done;
    std::shared_ptr<HttpConnection> m_connection;
    std::shared_ptr<ControlCall> m_self;
    bool m_accepted { false };
};

MemoryReserver::MemoryReserver(GatewayState &state, std::string requestId)
    : m_state(state)
    , m_requestId(std::move(requestId))
{ }

void MemoryReserver::reserve(const std::vector<MemoryReservation> &reservations,
                             FinishedCallback finished)
{
    m_finished = std::move(finished);
    m_pendingAnswers = reservations.size();
    m_renewAt = m_state.clock.now() + renewalInterval;
    for (const MemoryReservation &reservation : reservations) {
        const UpstreamRecord *record = m_state.upstreams.find(reservation.upstream);
        if (record == nullptr) {
            recordAnswer(false);
            continue;
        }
        const ActiveReservation activeReservation {
            .address = record->address,
            .tokens = reservation.tokens,
            .id = m_requestId + "-" + std::to_string(m_reservations.size())
        };
        m_reservations[reservation.upstream] = activeReservation;
        sendControlCall(reservation.upstream, activeReservation,
                        m_state.dialect.reserveMemory(activeReservation.id,
                                                      activeReservation.tokens,
                                                      reservationLifetime),
                        [weak = weak_from_this()](bool accepted) {
                            if (const auto self = weak.lock())
                                self->recordAnswer(accepted);
                        });
    }
}

void MemoryReserver::sendControlCall(const std::string &upstream,
                                     const ActiveReservation &activeReservation,
                                     const EngineCall &call, std::function<void(bool)> done)
{
    const auto controlCall = std::make_shared<ControlCall>(m_state, upstream, std::move(done));
    std::erase_if(m_controlCalls,
                  [](const auto &earlierCall) { return !earlierCall->isPending(); });
    m_controlCalls.push_back(controlCall);
    m_state.metrics.increment("lavenderpick_engine_orders_total");
    controlCall->send(controlCall, activeReservation.address, call);
}

void MemoryReserver::recordAnswer(bool accepted)
{
    m_allAccepted = m_allAccepted && accepted;
    if (m_pendingAnswers == 0 || --m_pendingAnswers > 0)
        return;
    const FinishedCallback finished = std::move(m_finished);
    m_finished = nullptr;
    if (finished)
        finished(m_allAccepted);
}

std::string MemoryReserver::reservationId(const std::string &upstream) const
{
    const auto found = m_reservations.find(upstream);
    return found == m_reservations.end() ? std::string() : found->second.id;
}

void MemoryReserver::checkTimeouts(TimePoint now)
{
    const std::vector<std::shared_ptr<ControlCall>> controlCalls = m_controlCalls;
    for (const auto &controlCall : controlCalls)
        controlCall->checkTimeouts(now);
    if (m_pendingAnswers > 0 || now < m_renewAt)
        return;
    m_renewAt = now + renewalInterval;
    for (const auto &[upstream, activeReservation] : m_reservations)
        sendControlCall(upstream, activeReservation,
                        m_state.dialect.reserveMemory(activeReservation.id,
                                                      activeReservation.tokens,
                                                      reservationLifetime),
                        {});
}

void MemoryReserver::release()
{
    m_finished = nullptr;
    for (const auto &[upstream, activeReservation] : m_reservations)
        sendControlCall(upstream, activeReservation,
                        m_state.dialect.releaseMemory(activeReservation.id), {});
    m_reservations.clear();
}

} // namespace Lavenderpick
