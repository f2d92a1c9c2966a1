#pragma once

#include "Services/Gateway/CallerStream.h"
#include "Services/Gateway/GatewayState.h"
#include "Services/Gateway/MemoryReserver.h"
#include "Services/Gateway/ResponseWriter.h"
#include "lavenderpick/Forward/AttemptHistory.h"
#include "lavenderpick/Forward/EventSplitter.h"
#include "lavenderpick/Forward/ResponseAssessment.h"

#include <memory>
#include <optional>
#include <string>

namespace Lavenderpick {

/// One request of a caller: finds its route, chooses an upstream, sends it, retries it if that is
/// allowed, and forwards the response.
///
/// `ResponseAssessment` decides what a response of an upstream means. A non-idempotent request is
/// sent again only after proof that it did not run. A response with a status for which
/// `promisesNotRun` holds is sent only if every upstream that got the request proved that it did
/// not run.
class Exchange : public std::enable_shared_from_this<Exchange>,
                 private ResponseListener,
                 private WaitingRequest
{
public:
    Exchange(GatewayState &state, CallerStream &caller, RequestHead head, std::string body);
    ~Exchange() override;

    /// Starts processing; the result is reported to the `CallerStream`.
    void start();

    /// Cancels the attempt at the upstream because the caller disconnected.
    void cancel();

    /// Called when the caller has read all pending output; resumes reading from the upstream.
    void callerDrained();

    void checkTimeouts(TimePoint now);

private:
    bool findRoute();
    /// How long the caller said it waits.
    std::optional<Duration> callerTimeLeft() const;
    void readDeadline();
    void dispatch();
    bool rejectQuarantined();
    std::string chooseService() const;
    void retryPlacement() override;
    Duration expectedDuration() const;
    Duration longestDuration() const;
    bool waitForBetterPlacement();
    bool waitForRateLimit();
    bool waitForPauses();
    void waitForPlacement(TimePoint earliestStart, TimePoint latestStart);
    void stopWaiting();
    void refuseForStop();
    void refuseUnplaced();
    const EngineParameters *engine() const;
    const std::string &customerName() const;
    RoomDemand roomDemand() const;
    CompetingRequest competingRequest(TimePoint latestStart) const;
    bool yieldsToOthers(TimePoint latestStart);
    void recordArrival();
    void recordWork();
    Duration scheduleReturn();
    void place();
    PlacementDecision choosePlacement(const PlacementRequest &request) const;
    bool isShortPrompt() const;
    static bool isOnTimeAndHarmless(const PlacementDecision &decision,
                                    const PlacementRequest &request);
    PlacementDecision choosePlacementAmong(const std::vector<const UpstreamRecord *> &upstreams,
                                           const PlacementRequest &request) const;
    int priority() const;
    PlacementRequest makePlacementRequest() const;
    std::optional<Duration> timeUntilRateLimitAllows() const;
    std::optional<Duration> timeUntilPauseEnds() const;
    std::vector<const UpstreamRecord *>
    withoutOutliers(const std::vector<const UpstreamRecord *> &upstreams) const;
    bool hasReadyPlacement() const;
    void sendAttempt();
    bool replaceIfUpstreamLeft();
    std::string formatRequestHead(const UpstreamRecord &record) const;
    std::string formatHelperList() const;

    bool isExpected(const ResponseHead &head) override;
    void headArrived(const ResponseHead &head) override;
    void recordRateLimit(const ResponseHead &head);
    void bodyArrived(std::string_view bytes) override;
    void responseEnded() override;
    void requestFailed(ConnectionFailure failure) override;

    void failOversizedFailure();
    void failUnforwarded();
    void forwardEvents(std::string_view bytes);
    void recordProgress(std::size_t events);
    void recordPrefilledPrompt();
    void recordEventTimes();
    void beginResponse();
    void writeBody(std::string_view bytes);
    void failBrokenStream();
    void finishForwarding();
    void handleUpstreamFailure();
    bool mayRetryOpenAttempt() const;
    bool mayResume() const;
    void failAttempt(AttemptOutcome outcome, const std::string &cause);
    void retry(AttemptOutcome outcome, const std::string &cause);
    void endAttempt();
    void recordBrokenAttempt();
    void recordCompletedPrompt();
    Duration silenceTimeout() const;
    void retryStalledStream(TimePoint now);
    bool endUnusedReservation(TimePoint now);
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
    bool isPredicted() const { return m_decision.predictedEndMs > 0; }
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
    std::vector<PrefixHash> m_promptPrefixes;       ///< Empty unless engines retain prompts.
    std::optional<RetainedPrefix> m_retainedPrefix; ///< At the open attempt's upstream.
    std::vector<std::string> m_promptParts;         ///< Those that other requests may contain too.

    PlacementDecision m_decision;
    std::optional<std::uint64_t> m_waitingId;
    bool m_hasYielded { false }; ///< Waited for other customers.
    std::optional<ScheduledReturn> m_scheduledReturn;
    std::optional<PlacementKey> m_placement;
    std::uint64_t m_streamId { 0 };     ///< Open attempt's id in `StalledStreamDetector`.
    EngineSpeeds::Stream m_speedStream; ///< Of the open attempt.
    bool m_retryGranted { false };      ///< The retry budget already granted the next retry.
    std::shared_ptr<MemoryReserver> m_reserver;
    std::shared_ptr<HttpConnection> m_connection;
    TimePoint m_attemptStartedAt {};
    UpstreamRecord m_attemptUpstream; ///< As listed when the attempt was sent.
    AttemptHistory m_history;

    ResponseHead m_responseHead;     ///< Head of the response to the caller.
    ResponseHead m_attemptHead;      ///< Head of the open attempt's response.
    ResponseAssessment m_assessment; ///< Of `m_attemptHead`.
    ResponseWriter m_writer;
    std::size_t m_bodyBytes { 0 }; ///< Written to the caller.
    bool m_firstEventSeen { false };
    std::string m_buffer; ///< Body bytes received before the response is begun.
    EventSplitter m_events;
    Duration m_timeToFirstEvent {}; ///< From the arrival of the request.
    Duration m_longestGap {};       ///< Between events.
    TimePoint m_lastEventAt {};
    bool m_done { false };
};

} // namespace Lavenderpick
