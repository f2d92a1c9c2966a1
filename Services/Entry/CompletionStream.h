#pragma once

#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Reasons.h"
#include "lavenderpick/Protocol/AttemptMessages.h"

#include <cstdint>
#include <string>

namespace Lavenderpick {

/// What the shell does after it reported something to a `CompletionStream`.
enum class StreamStep {
    Drop,       ///< Ignore the event: it is late, repeated or belongs to another attempt.
    Deliver,    ///< Pass the event's text on to the caller.
    Resume,     ///< Read the same attempt from `nextOffset` on a new connection (R6).
    NewAttempt, ///< Start another attempt with the text so far (R7).
    Finish,     ///< The response is complete and verified (R8).
    Fail,       ///< The response can't be completed.
};

/// Assembles one response from the events of its attempts. Performs no I/O.
///
/// Connections can repeat, lose or reorder events, and an abandoned attempt can still send some;
/// only the event at the next offset of the current attempt is delivered.
class CompletionStream
{
public:
    struct Limits
    {
        /// Resumes in a row without a new token, after which the agent counts as gone.
        int fruitlessResumes { 2 };
        /// Attempts of one request, the first included.
        int attempts { 4 };

        bool operator==(const Limits &) const = default;
    };

    explicit CompletionStream(const Limits &limits)
        : m_limits(limits)
    { }

    /// Continues a response of which `text` with `count` tokens is already stored (J3).
    CompletionStream(const Limits &limits, std::string text, std::int64_t count);

    /// Makes `attemptId` the only attempt whose events count.
    void startAttempt(std::string attemptId);

    StreamStep onEvent(const AttemptEvent &event);

    /// The connection fell silent, broke or ended without an end event.
    StreamStep onInterruption();

    /// The agent refused the attempt or no longer knows it, or can't be reached.
    StreamStep onAttemptLost();

    const std::string &attemptId() const { return m_attemptId; }
    const std::string &text() const { return m_text; }
    std::int64_t nextOffset() const { return m_count; }
    const std::string &finishReason() const { return m_finishReason; }

    /// The usage of the whole response; valid after `Finish`.
    const Usage &usage() const { return m_usage; }

    /// The reason for the last `NewAttempt` or `Fail` that an event caused.
    RefusalReason failure() const { return m_failure; }

    /// Events that were dropped as late, repeated or crossed.
    std::int64_t dropped() const { return m_dropped; }

private:
    StreamStep onToken(const AttemptEvent &event);
    StreamStep onEnd(const AttemptEvent &event);
    StreamStep onFailed(const AttemptEvent &event);
    StreamStep drop();

    Limits m_limits;
    std::string m_attemptId;
    std::string m_text;
    Sha256Stream m_digest;
    std::int64_t m_count { 0 };
    std::int64_t m_dropped { 0 };
    int m_attempts { 0 };
    int m_fruitlessResumes { 0 };
    std::string m_finishReason;
    Usage m_usage;
    RefusalReason m_failure { RefusalReason::UpstreamFailed };
    bool m_ended { false };
};

} // namespace Lavenderpick
