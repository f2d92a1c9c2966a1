#include "Services/Gateway/MemoryReserver.h"

#include "lavenderpick/Base/Log.h"

#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

// A hop between zones takes milliseconds; a request can't wait longer for its memory.
constexpr Duration orderTimeout { Milliseconds(400) };

} // namespace

/// One call to an engine's control interface; keeps itself alive until it ends.
class MemoryReserver::Order : public ResponseListener
{
public:
    Order(GatewayState &state, std::string upstream, std::function<void(bool)> done)
        : m_state(state)
        , m_upstream(std::move(upstream))
        , m_done(std::move(done))
    { }

    void send(const std::shared_ptr<Order> &self, const std::string &address,
              const EngineCall &call)
    {
        m_self = self;
        m_connection = m_state.pool.acquire(m_upstream, address);
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
            m_connection->checkTimeouts(now, orderTimeout, orderTimeout);
    }

    bool isPending() const { return m_self != nullptr; }

    void headArrived(const ResponseHead &head) override { m_accepted = head.isSuccess(); }
    void bodyArrived(std::string_view) override { }

    void responseEnded() override
    {
        m_state.keepConnection(m_upstream, m_connection);
        finish(m_accepted);
    }

    void requestFailed(ConnectionFailure failure) override
    {
        log(LogLevel::Info, "reservation", "an engine did not answer an order",
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
    std::function<void(bool)> m_done;
    std::shared_ptr<HttpConnection> m_connection;
    std::shared_ptr<Order> m_self;
    bool m_accepted { false };
};

MemoryReserver::MemoryReserver(GatewayState &state, std::string requestId)
    : m_state(state)
    , m_requestId(std::move(requestId))
{ }

void MemoryReserver::reserve(const std::vector<MemoryReservation> &reservations, Finished finished)
{
    m_finished = std::move(finished);
    m_missing = reservations.size();
    m_renewAt = m_state.clock.now() + renewal;
    for (const MemoryReservation &reservation : reservations) {
        const UpstreamRecord *record = m_state.upstreams.find(reservation.upstream);
        if (record == nullptr) {
            answered(false);
            continue;
        }
        const Held held { .address = record->address,
                          .tokens = reservation.tokens,
                          .id = m_requestId + "-" + std::to_string(m_held.size()) };
        m_held[reservation.upstream] = held;
        sendOrder(reservation.upstream, held,
                  m_state.dialect.reserveMemory(held.id, held.tokens, hold),
                  [weak = weak_from_this()](bool accepted) {
                      if (const auto self = weak.lock())
                          self->answered(accepted);
                  });
    }
}

void MemoryReserver::sendOrder(const std::string &upstream, const Held &held,
                               const EngineCall &call, std::function<void(bool)> done)
{
    const auto order = std::make_shared<Order>(m_state, upstream, std::move(done));
    std::erase_if(m_orders, [](const auto &sent) { return !sent->isPending(); });
    m_orders.push_back(order);
    m_state.metrics.increment("lavenderpick_engine_orders_total");
    order->send(order, held.address, call);
}

void MemoryReserver::answered(bool accepted)
{
    m_allAccepted = m_allAccepted && accepted;
    if (m_missing == 0 || --m_missing > 0)
        return;
    const Finished finished = std::move(m_finished);
    m_finished = nullptr;
    if (finished)
        finished(m_allAccepted);
}

std::string MemoryReserver::reservationAt(const std::string &upstream) const
{
    const auto found = m_held.find(upstream);
    return found == m_held.end() ? std::string() : found->second.id;
}

void MemoryReserver::checkTimeouts(TimePoint now)
{
    const std::vector<std::shared_ptr<Order>> orders = m_orders;
    for (const auto &order : orders)
        order->checkTimeouts(now);
    if (m_missing > 0 || now < m_renewAt)
        return;
    m_renewAt = now + renewal;
    for (const auto &[upstream, held] : m_held)
        sendOrder(upstream, held, m_state.dialect.reserveMemory(held.id, held.tokens, hold), {});
}

void MemoryReserver::release()
{
    m_finished = nullptr;
    for (const auto &[upstream, held] : m_held)
        sendOrder(upstream, held, m_state.dialect.releaseMemory(held.id), {});
    m_held.clear();
}

} // namespace Lavenderpick
