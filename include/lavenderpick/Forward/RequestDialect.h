#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Forward/EngineLatencyModel.h"
#include "lavenderpick/Forward/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

/// The names of the header fields that the gateway reads and sets.
struct HeaderNames
{
    std::string requestId;        ///< Unique per attempt of a caller; upstreams echo it.
    std::string customerKey;      ///< Sent by callers; never forwarded.
    std::string customerName;     ///< Sent to upstreams; only the gateway sets it.
    std::string timeLeftMs;       ///< Milliseconds that the sender still waits.
    std::string expectedUpstream; ///< Sent to upstreams: only the process with this id may run it.
    std::string signature;        ///< From upstreams, with complete responses of requests that ran.
    std::string helpers;          ///< Sent to engines: helpers that prefill parts of the prompt.
    std::string lastEventId;      ///< The event after which a stream resumes.
    std::string urgency;          ///< Sent to engines: more urgent requests are admitted first.
    /// Only the gateway may set these, so a caller's fields with these names are dropped.
    std::vector<std::string> reserved;
    /// Fields of requests that upstreams rely on: each may occur once, and must reach the upstream.
    std::vector<std::string> singular;

    bool operator==(const HeaderNames &) const = default;
};

/// An engine that prefills part of a prompt.
struct PrefillHelper
{
    std::string address;     ///< `host:port`
    std::string reservation; ///< Id of the memory reserved there; empty for none.

    bool operator==(const PrefillHelper &) const = default;
};

/// A part of a prompt.
struct PromptPart
{
    std::string id;
    std::int64_t tokens { 0 }; ///< Zero if the request doesn't say.

    bool operator==(const PromptPart &) const = default;
};

/// A call to an engine's control interface.
struct EngineCall
{
    std::string method;
    std::string target;
    std::string body;

    bool operator==(const EngineCall &) const = default;
};

/// The header names, header values and engine calls that one deployment uses between callers, the
/// gateway and upstreams.
class RequestDialect
{
public:
    virtual ~RequestDialect() = default;

    virtual const HeaderNames &names() const = 0;

    /// The token counts that a request announces; empty if there are none or they can't be parsed.
    virtual std::optional<GenerationSize> generationSize(const HeaderList &headers) const = 0;

    /// Ids of the parts of the prompt that other requests may contain too, in order: all but the
    /// last, which is the request's or its session's own. Empty if the request announces none or
    /// they can't be parsed.
    virtual std::vector<std::string> sharedPromptParts(const HeaderList &headers) const;

    /// All parts of the prompt with their lengths, in order; empty if the request announces none or
    /// they can't be parsed.
    virtual std::vector<PromptPart> promptParts(const HeaderList &headers) const = 0;

    /// The urgency sent to engines for a request of this priority (0 is served first).
    virtual std::string formatUrgency(int priority) const = 0;

    virtual std::string formatHelpers(const std::vector<PrefillHelper> &helpers) const = 0;

    /// Whether the response proves that the request has not run and will not run.
    virtual bool provesNotRun(const ResponseHead &response) const = 0;

    /// Whether a process other than the expected one responded.
    virtual bool isMisdirected(const ResponseHead &response) const = 0;

    /// The requests a second that the upstream takes from all gateways together; empty if the
    /// response names no limit or it can't be parsed.
    virtual std::optional<double> rateLimit(const ResponseHead &response) const = 0;

    /// Whether the upstream says that it leaves.
    virtual bool isLeaving(const ResponseHead &response) const = 0;

    /// For how long the upstream wants no further requests from this gateway; empty if the response
    /// doesn't say so or it can't be parsed.
    virtual std::optional<Duration> pause(const ResponseHead &response) const = 0;

    /// Reserves KV cache memory for `tokens` tokens. The reservation expires after `hold`; sending
    /// the call again renews it.
    virtual EngineCall reserveMemory(const std::string &reservation, std::int64_t tokens,
                                     Duration hold) const = 0;
    virtual EngineCall releaseMemory(const std::string &reservation) const = 0;

    /// Asks an engine for the state of its reservations.
    virtual EngineCall reservationStates() const = 0;

    /// Whether an engine's answer to `reservationStates` says that a request uses the memory of the
    /// reservation. Throws `Error` if it can't be parsed.
    virtual bool isReservationUsed(std::string_view states, std::string_view reservation) const = 0;
};

} // namespace Lavenderpick
