#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Lavenderpick {

/// Finds streams that their engine has lost, by comparing them with others at the same engine. Not
/// safe for concurrent use.
///
/// The load that it answers: an engine that hangs on some requests while it serves the rest, so
/// that neither its connection nor its health tells. Silence alone proves nothing, since a long
/// prompt may take an engine seconds. But engines read whole prompts in the order of their arrival
/// and write for all streams in each pass: who is overtaken is lost.
class StalledStreamDetector
{
public:
    /// A later request's first event is this old before the earlier one counts as overtaken. On
    /// 4,400 healthy streams of played days none without helpers was overtaken by even 50 ms; a
    /// packet that is lost twice comes some 600 ms late.
    static constexpr Duration overtakenTimeout { Milliseconds(400) };
    /// Requests sent closer together than a round trip between zones may arrive in either order.
    static constexpr Duration sendOrderTolerance { Milliseconds(50) };
    /// Passes that wrote for others and not for a stream, before it counts as lost.
    static constexpr int missedPassThreshold = 4;
    /// Silence before a stream counts as lost: above the delay of packets that are lost twice, and
    /// below the two seconds after which callers leave.
    static constexpr Duration minimumSilence { Milliseconds(900) };
    /// Events closer together belong to one pass.
    static constexpr Duration samePassWindow { Milliseconds(30) };

    /// A request was sent to an engine. `prefillsWholePrompt`: no helpers read parts of its prompt.
    void recordSent(const std::string &upstream, std::uint64_t streamId, bool prefillsWholePrompt,
                    TimePoint now);

    void recordEvent(const std::string &upstream, std::uint64_t streamId, TimePoint now);

    void recordEnd(const std::string &upstream, std::uint64_t streamId);

    /// Whether others at the engine went on without this stream.
    bool isStalled(const std::string &upstream, std::uint64_t streamId, TimePoint now) const;

private:
    struct Stream
    {
        bool prefillsWholePrompt { true };
        TimePoint sentAt {};
        TimePoint lastEventAt {}; ///< Zero before the first.
    };

    struct FirstEvent
    {
        TimePoint sentAt;
        TimePoint arrivedAt;
    };

    struct Engine
    {
        std::map<std::uint64_t, Stream> openStreams;
        std::deque<FirstEvent> firstEvents; ///< Of whole prompts; the oldest are dropped.
        std::deque<TimePoint> passes;       ///< That wrote; the oldest are dropped.
    };

    static bool isOvertaken(const Engine &engine, const Stream &stream, TimePoint now);

    std::map<std::string, Engine> m_engines; ///< With open streams.
};

} // namespace Lavenderpick
