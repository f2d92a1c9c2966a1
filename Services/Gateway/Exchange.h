#pragma once

#include "Services/Gateway/CallerStream.h"
#include "Services/Gateway/GatewayState.h"
#include "Services/Gateway/MemoryReserver.h"
#include "Services/Gateway/ResponseWriter.h"
#include "lavenderpick/Forward/AttemptHistory.h"
#include "lavenderpick/Forward/EventSplitter.h"

#include <memory>
#include <optional>
#include <string>

namespace Lavenderpick {

/// One request of a caller: finds its route, places it, sends it, repeats it where that is allowed,
/// and forwards the response.
///
/// A request that may not be repeated is sent again only after a proof that it has not run. A
/// response of 503 or 408 is sent only where that is proved for every upstream it was sent to.
class Exchange : public std::enable_shared_from_this<Exchange>,
                 private ResponseListener,
                 private WaitingRequest
{
public:
    Exchange(GatewayState &state, CallerStream &caller, RequestHead head, std::string body);
    ~Exchange() override;

    /// Begins; the caller's stream hears the rest.
    void start();

    /// The caller left: stops the work at the upstream.
    void cancel();

    /// The caller took what it was sent.
    void callerDrained();

    void checkTimeouts(TimePoint now);

private:
    bool findRoute();
    void readDeadline();
    void dispatch();
    std::string chooseService() const;
    void retryPlacement() override;
    Duration expectedDuration() const;
    bool waitForBetterPlacement();
    void stopWaiting();
    void refuseUnplaced();
    void place();
    PlacementDecision choosePlacement(const PlacementRequest &request) const;
    PlacementDecision choosePlacementAmong(const std::vector<const UpstreamRecord *> &upstreams,
                                           const PlacementRequest &request) const;
    int priority() const;
    PlacementRequest makePlacementRequest() const;
    std::vector<const UpstreamRecord *>
    withoutOutliers(const std::vector<const UpstreamRecord *> &upstreams) const;
    void sendAttempt();
    std::string formatRequestHead(const UpstreamRecord &record) const;
    std::string formatHelperList() const;

    bool isExpected(const ResponseHead &head) override;
    void headArrived(const ResponseHead &head) override;
    void bodyArrived(std::string_view bytes) override;
    void responseEnded() override;
    void requestFailed(ConnectionFailure failure) override;

    void forwardEvents(std::string_view bytes);
    void recordEventTimes();
    void beginResponse();
    void writeBody(std::string_view bytes);
    void finishForwarding();
    void handleUpstreamRefusal();
    bool mayRetryOpenAttempt() const;
    void failAttempt(AttemptOutcome outcome, const std::string &cause);
    void retry(AttemptOutcome outcome, const std::string &cause);
    void endAttempt();
    Duration silenceTimeout() const;
    void retryStalledStream(TimePoint now);
    void forwardBufferedFailure();

    void refuse(int status, RefusalReason reason, const std::string &message,
                std::optional<Duration> retryAfter = std::nullopt);
    void failRequest(const std::string &cause);
    void abortResponse(const std::string &cause);
    void finish(int status);
    void recordLatencies(int status);
    void logAttempt(std::string_view message, const std::string &cause) const;

    Duration remaining() const { return m_deadline - m_state.clock.now(); }
    bool closesConnection() const { return !m_head.keepAlive || m_state.stop.isStopping(); }
    bool isStream() const { return m_route != nullptr && m_route->kind == RouteKind::Streaming; }

    GatewayState &m_state;
    CallerStream &m_caller;
    RequestHead m_head;
    std::shared_ptr<const std::string> m_body;
    std::string m_requestId;
    TimePoint m_arrivedAt;
    TimePoint m_deadline {};
    std::shared_ptr<const ServingConfiguration> m_configuration;
    const Route *m_route { nullptr };
    const Customer *m_customer { nullptr };
    std::string m_service;
    std::optional<GenerationSize> m_size;

    PlacementDecision m_decision;
    std::optional<std::uint64_t> m_waitingId;
    std::optional<PlacementKey> m_placement;
    std::uint64_t m_streamId { 0 }; ///< Of the open attempt, for `StalledStreamDetector`.
    bool m_retryGranted { false };  ///< By the retry budget, for the open attempt.
    std::shared_ptr<MemoryReserver> m_reserver;
    std::shared_ptr<HttpConnection> m_connection;
    TimePoint m_attemptStartedAt {};
    AttemptHistory m_history;

    ResponseHead m_responseHead; ///< What the caller gets or got.
    ResponseHead m_attemptHead;  ///< Of the upstream that answers now.
    ResponseWriter m_writer;
    bool m_firstEventSeen { false };
    std::string m_buffer; ///< Of a response that is not begun yet.
    EventSplitter m_events;
    Duration m_timeToFirstEvent {}; ///< From the arrival of the request.
    Duration m_longestGap {};       ///< Between events.
    TimePoint m_lastEventAt {};
    bool m_done { false };
};

} // namespace Lavenderpick
