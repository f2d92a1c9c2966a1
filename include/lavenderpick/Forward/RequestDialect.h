#pragma once

#include "lavenderpick/Forward/EngineFormula.h"
#include "lavenderpick/Forward/HttpMessage.h"

#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// The names of the header fields that the gateway reads and sets.
struct HeaderNames
{
    std::string requestId;        ///< One per attempt of a caller; upstreams echo it.
    std::string customerKey;      ///< From callers only; never forwarded.
    std::string customerName;     ///< To upstreams, set by the gateway alone.
    std::string timeLeftMs;       ///< How long the sender still waits.
    std::string expectedUpstream; ///< To upstreams: only the process with this id may run it.
    std::string signature;        ///< From upstreams, on whole responses that ran.
    std::string helpers;          ///< To engines: who reads parts of the prompt.
    std::string lastEventId;      ///< Where a stream goes on.
    std::string urgency;          ///< To engines: the more urgent are admitted first.
    /// Set by the gateway alone, so that a caller's fields of these names are dropped.
    std::vector<std::string> reserved;

    bool operator==(const HeaderNames &) const = default;
};

/// An engine that reads a part of a prompt.
struct PrefillHelper
{
    std::string address;     ///< `host:port`
    std::string reservation; ///< Id of reserved memory there; empty for none.

    bool operator==(const PrefillHelper &) const = default;
};

/// A call to an engine's control interface.
struct EngineCall
{
    std::string method;
    std::string target;
    std::string body;

    bool operator==(const EngineCall &) const = default;
};

/// How callers, the gateway and upstreams spell what they tell each other.
class RequestDialect
{
public:
    virtual ~RequestDialect() = default;

    virtual const HeaderNames &names() const = 0;

    /// The tokens that a request announces; empty when it names none that can be read.
    virtual std::optional<GenerationSize> generationSize(const HeaderList &headers) const = 0;

    /// How urgent a request of this priority (0 is served first) is to engines.
    virtual std::string formatUrgency(int priority) const = 0;

    virtual std::string formatHelpers(const std::vector<PrefillHelper> &helpers) const = 0;

    /// Whether the response proves that the request did not run and will not.
    virtual bool provesNotRun(const ResponseHead &response) const = 0;

    /// Whether another process than the expected one answered.
    virtual bool isMisdirected(const ResponseHead &response) const = 0;

    /// Reserves memory for `hold`; sent again, it renews the reservation.
    virtual EngineCall reserveMemory(const std::string &reservation, std::int64_t tokens,
                                     Duration hold) const = 0;
    virtual EngineCall releaseMemory(const std::string &reservation) const = 0;
};

} // namespace Lavenderpick
