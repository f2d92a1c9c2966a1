#pragma once

#include "ScriptedUpstream.h"
#include "Services/Gateway/HttpConnection.h"
#include "Services/Gateway/InboundConnection.h"

#include <memory>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A request dialect for tests, with header names that differ from those of any platform.
class TestDialect : public RequestDialect
{
public:
    const HeaderNames &names() const override { return m_names; }
    std::optional<GenerationSize> generationSize(const HeaderList &headers) const override;
    std::vector<std::string> sharedPromptParts(const HeaderList &headers) const override;
    std::vector<PromptPart> promptParts(const HeaderList &headers) const override;
    std::string formatUrgency(int priority) const override { return std::to_string(priority); }
    std::string formatHelpers(const std::vector<PrefillHelper> &helpers) const override;
    bool provesNotRun(const ResponseHead &response) const override
    {
        return response.headers.find("Not-Run") != nullptr;
    }
    std::optional<double> rateLimit(const ResponseHead &response) const override;
    bool isLeaving(const ResponseHead &response) const override
    {
        return response.headers.find("Leaving") != nullptr;
    }
    std::optional<Duration> pause(const ResponseHead &response) const override;
    bool isMisdirected(const ResponseHead &response) const override
    {
        return response.status == 421;
    }
    EngineCall reserveMemory(const std::string &reservation, std::int64_t tokens,
                             Duration hold) const override;
    EngineCall releaseMemory(const std::string &reservation) const override;
    EngineCall reservationStates() const override { return { .method = "GET", .target = "/used" }; }
    bool isReservationUsed(std::string_view states, std::string_view reservation) const override
    {
        return states == reservation;
    }

private:
    HeaderNames m_names {
        .requestId = "Request-Id",
        .customerKey = "Key",
        .customerName = "Customer",
        .timeLeftMs = "Time-Left-Ms",
        .expectedUpstream = "Expected-Upstream",
        .signature = "Proof",
        .helpers = "Helpers",
        .lastEventId = "Last-Event-Id",
        .urgency = "Urgency",
        .reserved = { "Key", "Customer", "Time-Left-Ms", "Expected-Upstream", "Helpers",
                      "Urgency" },
        .singular = { "Host", "Request-Id", "Key", "Time-Left-Ms", "Last-Event-Id" },
    };
};

/// The response that a caller received.
struct CallerResponse : ResponseListener
{
    int status { 0 };
    HeaderList headers;
    std::string body;
    bool complete { false };
    bool failed { false };

    bool isDone() const { return complete || failed; }
    std::string header(const std::string &name) const
    {
        const std::string *value = headers.find(name);
        return value == nullptr ? std::string() : *value;
    }

    void headArrived(const ResponseHead &head) override
    {
        status = head.status;
        headers = head.headers;
    }
    void bodyArrived(std::string_view bytes) override { body.append(bytes); }
    void responseEnded() override { complete = true; }
    void requestFailed(ConnectionFailure) override { failed = true; }
};

/// Runs a gateway's request path on loopback with scripted upstreams. The clock moves only in
/// `advance`.
class GatewayFixture
{
public:
    explicit GatewayFixture(QueueOrder order = QueueOrder::EarliestStart);
    ~GatewayFixture();

    /// Adds an upstream of the service "calls" or "engines".
    ScriptedUpstream &addUpstream(const std::string &id, ScriptedUpstream::Script script,
                                  const std::string &service = "calls");

    /// Sends a request on a new connection and returns at once.
    std::shared_ptr<CallerResponse> send(const std::string &path, const std::string &id = "r1",
                                         const std::string &extraHeaders = "",
                                         const std::string &body = "");

    /// Sends a request and waits until its response is complete or has failed.
    std::shared_ptr<CallerResponse> sendAndWait(const std::string &path,
                                                const std::string &id = "r1",
                                                const std::string &extraHeaders = "",
                                                const std::string &body = "");

    /// Opens a caller connection.
    std::unique_ptr<asio::ip::tcp::socket> connect();

    /// Returns the bytes received until the connection closes, a response with a JSON body is
    /// complete, or `runUntil` times out.
    std::string receive(asio::ip::tcp::socket &socket);

    /// Sends bytes on a new connection and returns what `receive` returns.
    std::string sendRaw(const std::string &bytes);

    /// Runs the event loop until the condition holds; returns false if `limit` passes first.
    bool runUntil(const std::function<bool()> &condition,
                  std::chrono::milliseconds limit = std::chrono::milliseconds(2'000));

    /// Advances the clock and checks the timeouts of all inbound connections.
    void advance(Duration duration);

    /// Closes the connection of the most recent `send`.
    void disconnectLastCaller() { m_callerConnections.back()->abandon(); }

    static ServingConfigurationParts makeConfiguration();
    static std::string makeResponse(const std::string &id, const std::string &body,
                                    int status = 200,
                                    const std::string &extraHeaders = "Proof: p\r\n");

    asio::io_context context;
    ManualClock clock;
    SeededRandom random { 1 };
    TestDialect dialect;
    GatewayState state;

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<InboundConnection>> m_inboundConnections;
    std::vector<std::shared_ptr<HttpConnection>> m_callerConnections;
    std::vector<std::unique_ptr<ScriptedUpstream>> m_upstreams;
};

} // namespace Lavenderpick
