#pragma once

#include "Services/Entry/CompletionStream.h"
#include "Services/Entry/PeerClient.h"
#include "Services/Entry/UpstreamSelector.h"
#include "lavenderpick/Base/Metrics.h"
#include "lavenderpick/Base/Problem.h"
#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Retry/Backoff.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A completion that was admitted.
struct CompletionOrder
{
    std::string requestId;
    std::string customer;
    std::string model;
    std::string priority;
    std::string prompt;
    std::int64_t promptTokens { 0 }; ///< Estimated.
    std::int64_t maximumTokens { 0 };
    TimePoint deadline {};
    std::string resumeText {};       ///< Text that an earlier run of the completion delivered.
    std::int64_t resumeOffset { 0 }; ///< Tokens in `resumeText`.
};

/// How a completion ended: complete, or with a problem.
struct CompletionOutcome
{
    std::string text {};
    std::int64_t tokens { 0 }; ///< In `text`.
    std::string finishReason {};
    Usage usage {};
    std::string attemptId {}; ///< The last attempt.
    std::string upstream {};
    std::optional<Problem> problem {};
};

/// Receives a completion's text while it is generated.
class CompletionReceiver
{
public:
    virtual ~CompletionReceiver() = default;

    /// Called once for each token with its text. Returns false when the receiver has left.
    virtual bool onText(const std::string &text) = 0;

    /// Called at least about once a second.
    virtual bool isOpen() = 0;
};

/// A place where attempts of one completion must run, instead of any selected upstream (P4).
struct PinnedUpstream
{
    SelectedUpstream target;
    std::string reservationId;
    std::vector<std::string> handles;
};

/// Runs completions: sends attempts to agents and keeps their streams going until the response is
/// whole (R4 to R9). Safe for concurrent use; each call blocks its thread.
class CompletionRelay
{
public:
    struct Settings
    {
        Duration silence { Seconds(3) };
        CompletionStream::Limits limits {};
    };
    /// Runs a task on another thread soon.
    using Background = std::function<void(std::function<void()>)>;

    CompletionRelay(const Settings &settings, const Clock &clock, Random &random, Metrics &metrics,
                    PeerClient &peers, UpstreamSelector &selector, Background background);

    /// Never throws for a failing upstream; the outcome has a problem then. The first attempt runs
    /// at `first`, if it is set.
    CompletionOutcome run(const CompletionOrder &order, CompletionReceiver &receiver,
                          const SelectedUpstream &first = {});

    /// Like `run`, with every attempt at `pinned`.
    CompletionOutcome runPinned(const CompletionOrder &order, CompletionReceiver &receiver,
                                const PinnedUpstream &pinned);

private:
    struct Run;

    CompletionOutcome runToEnd(Run &run);
    SelectedUpstream nextTarget(Run &run) const;
    StreamStep runAttempt(Run &run, const SelectedUpstream &target);
    StreamStep readStream(Run &run, const std::string &address, const HttpRequest &request);
    bool receivePiece(Run &run, std::string_view piece, StreamStep &step);
    StreamStep applyEvent(Run &run, const AttemptEvent &event);
    StreamStep onRefusal(Run &run, const HttpResponse &response);
    HttpRequest attemptRequest(const Run &run) const;
    HttpRequest resumeRequest(const Run &run) const;
    Duration waitLimit(const Run &run) const;
    bool prepareRetry(Run &run);
    std::optional<Problem> stopReason(Run &run) const;
    void cancelAttempt(const Run &run);
    CompletionOutcome finish(Run &run);
    CompletionOutcome failAfterAttempt(Run &run);
    CompletionOutcome fail(Run &run, Problem problem);

    Settings m_settings;
    const Clock &m_clock;
    Random &m_random;
    Metrics &m_metrics;
    PeerClient &m_peers;
    UpstreamSelector &m_selector;
    Background m_background;
    Backoff m_backoff;
};

} // namespace Lavenderpick
