#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Lavenderpick {

/// Detects stalled streams by comparing them with other streams of the same engine. Not safe for
/// concurrent use.
///
/// An engine may hang on some requests while it serves the rest, which neither its connection nor
/// its health check shows. Silence alone is no proof, since the prefill of a long prompt may take
/// seconds. But engines prefill whole prompts in order of arrival and decode for all streams in
/// each scheduling pass, so a stream that others overtake has stalled.
class StalledStreamDetector
{
public:
    /// Age of a later request's first event at which the earlier request counts as overtaken. Among
    /// 4,400 healthy streams, none without helpers was overtaken by even 50 ms; a packet that is
    /// lost twice arrives some 600 ms late.
    static constexpr Duration overtakenTimeout { Milliseconds(400) };
    /// Requests sent closer together than a round trip between zones may arrive in either order.
    static constexpr Duration sendOrderTolerance { Milliseconds(50) };
    /// Passes that decode for other streams but not for this one before it counts as stalled.
    static constexpr int missedPassThreshold = 4;
    /// Silence before a stream counts as stalled: above the delay of packets that are lost twice,
    /// and below the two seconds after which callers give up.
    static constexpr Duration minimumSilence { Milliseconds(900) };
    /// Events closer together than this belong to one pass.
    static constexpr Duration samePassWindow { Milliseconds(30) };

    /// Records a request sent to an engine. `prefillsWholePrompt`: no helpers prefill parts of its
    /// prompt.
    void recordSent(const std::string &upstream, std::uint64_t streamId, bool prefillsWholePrompt,
                    TimePoint now);

    void recordEvent(const std::string &upstream, std::uint64_t streamId, TimePoint now);

    void recordEnd(const std::string &upstream, std::uint64_t streamId);

    /// Whether the engine served other streams but not this one.
    bool isStalled(const std::string &upstream, std::uint64_t streamId, TimePoint now) const;

private:
    struct Stream
    {
        bool prefillsWholePrompt { true };
        TimePoint sentAt {};
        TimePoint lastEventAt {}; ///< Zero before the first event.
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
        std::deque<TimePoint> passes; ///< Times of passes with events; the oldest are dropped.
    };

    static bool isOvertaken(const Engine &engine, const Stream &stream, TimePoint now);

    std::map<std::string, Engine> m_engines; ///< Engines with open streams.
};

} // namespace Lavenderpick
