#include "Services/Gateway/EngineCalls.h"

#include "Services/Gateway/GatewayState.h"
#include "lavenderpick/Base/Log.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace Lavenderpick {

namespace {

// A hop between zones takes milliseconds; a request can't wait longer for its reservations.
constexpr Duration controlCallTimeout { Milliseconds(400) };
constexpr ResponseLimits controlCallLimits { .bytesBeforeBody = 65'536,
                                             .bodyBytes = 65'536,
                                             .totalTime = Milliseconds(800) };

} // namespace

/// One call to an engine's control interface; holds a reference to itself until it ends.
class EngineCalls::Call : public ResponseListener
{
public:
    Call(GatewayState &state, std::string upstream, ResultCallback done)
        : m_state(state)
        , m_upstream(std::move(upstream))
        , m_done(std::move(done))
    {
        if (const UpstreamRecord *record = m_state.upstreams.find(m_upstream))
            m_record = *record;
    }

    void send(const std::shared_ptr<Call> &self, const std::string &address, const EngineCall &call)
    {
        m_self = self;
        m_connection = m_state.pool.acquire(m_upstream, address);
        m_connection->setLimits(controlCallLimits);
        std::string head = call.method + " " + call.target + " HTTP/1.1\r\n";
        appendField("Host", address, head);
        if (!call.body.empty()) {
            appendField("Content-Type", "application/json", head);
            appendFraming(BodyFraming::Length, call.body.size(), head);
        }
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

    // Connections are shared with requests, so a copy of a response to one of them may arrive late.
    // Control calls have no id that an engine could echo.
    bool isExpected(const ResponseHead &head) override
    {
        const std::string *id = head.headers.find(m_state.dialect.names().requestId);
        if (id == nullptr || id->empty())
            return true;
        m_state.metrics.increment("lavenderpick_foreign_responses_total");
        log(LogLevel::Warning, "reservation", "an engine sent the response of another request",
            { { "upstream", m_upstream }, { "other_request_id", *id }, { "status", head.status } });
        return false;
    }

    void headArrived(const ResponseHead &head) override
    {
        m_accepted = head.isSuccess();
        if (m_record)
            m_state.recordNotices(*m_record, head);
    }
    void bodyArrived(std::string_view bytes) override { m_body.append(bytes); }

    void responseEnded() override
    {
        m_state.keepConnection(m_upstream, m_connection);
        finish({ .accepted = m_accepted, .body = m_accepted ? std::move(m_body) : std::string() });
    }

    void requestFailed(ConnectionFailure failure) override
    {
        log(LogLevel::Info, "reservation", "an engine did not answer a control call",
            { { "upstream", m_upstream }, { "failure", toString(failure) } });
        finish({});
    }

private:
    void finish(const Answer &answer)
    {
        const auto self = std::move(m_self);
        if (m_done)
            m_done(answer);
    }

    GatewayState &m_state;
    std::string m_upstream;
    std::optional<UpstreamRecord> m_record; ///< As listed when the call was sent.
    ResultCallback m_done;
    std::shared_ptr<HttpConnection> m_connection;
    std::shared_ptr<Call> m_self;
    std::string m_body;
    bool m_accepted { false };
};

EngineCalls::EngineCalls(GatewayState &state)
    : m_state(state)
{ }

EngineCalls::~EngineCalls() = default;

void EngineCalls::send(const std::string &upstream, const std::string &address,
                       const EngineCall &call, ResultCallback done)
{
    std::erase_if(m_calls, [](const auto &earlier) { return !earlier->isPending(); });
    const auto sent = std::make_shared<Call>(m_state, upstream, std::move(done));
    m_calls.push_back(sent);
    m_state.metrics.increment("lavenderpick_engine_orders_total");
    sent->send(sent, address, call);
}

void EngineCalls::checkTimeouts(TimePoint now)
{
    // A call that fails may make its request send others.
    const std::vector<std::shared_ptr<Call>> calls = m_calls;
    for (const auto &call : calls)
        call->checkTimeouts(now);
    std::erase_if(m_calls, [](const auto &call) { return !call->isPending(); });
}

} // namespace Lavenderpick
