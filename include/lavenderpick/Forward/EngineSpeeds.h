#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavenderpick {

/// An engine has become slow, or is no longer slow.
struct EngineSpeedChange
{
    std::string upstream;
    double factor { 1 }; ///< 1 if it is no longer slow.

    bool operator==(const EngineSpeedChange &) const = default;
};

/// Learns by which factor each engine is slower than the published formula, from the gaps between
/// events of this gateway's own streams. Not safe for concurrent use.
///
/// Load: some engines of a service work at a fraction of the speed for a while. Placed by the
/// formula, they get as many requests as the others, and all of these are late.
class EngineSpeeds
{
public:
    /// Lower factors count as 1: the formula and the ledger are not accurate enough to tell them
    /// apart.
    static constexpr double slowFactor = 1.5;

    /// The last gaps of one attempt of a stream; a new attempt starts with an empty one.
    class Stream
    {
    public:
        explicit Stream(std::uint64_t number = 0)
            : m_number(number)
        { }

    private:
        friend class EngineSpeeds;

        // Prefills of other requests lengthen gaps and nothing shortens them, so the least of some
        // gaps shows the speed.
        std::array<double, 4> m_ratios {}; ///< Of gaps to the predicted pass time.
        std::size_t m_gaps { 0 };
        std::uint64_t m_number;
        std::optional<TimePoint> m_lastEventAt {};
        double m_lastPassMs { 0 };
    };

    /// Call at regular times, `interval` apart, to detect that the event loop was late.
    void recordTimer(Duration interval, TimePoint now);

    /// Events of a stream arrived. `passMs` is the pass time by the formula with the load now.
    void recordEvents(const UpstreamRecord &upstream, Stream &stream, std::size_t events,
                      double passMs, TimePoint now);

    /// The upstream is not listed any more, or its process has ended.
    void forget(const std::string &upstream);

    /// Lets factors without samples approach 1. Returns the engines that became slow or are no
    /// longer slow since the last call.
    std::vector<EngineSpeedChange> update(TimePoint now);

    /// The factor for pass and prefill times: 1, or `slowFactor` and more.
    double factor(const UpstreamRecord &upstream) const
    {
        return m_slowCount == 0 ? 1 : knownFactor(upstream);
    }

    /// The engines whose factor is not 1.
    std::size_t slowCount() const { return m_slowCount; }

private:
    struct Sample
    {
        std::uint64_t stream { 0 };
        double ratio { 1 };
        TimePoint at {};
    };
    struct Process
    {
        std::int64_t startedMs { 0 };
        double factor { 1 };
        std::deque<Sample> samples; ///< The last ones, the oldest first.
        TimePoint changedAt {};     ///< Of the last rise or fall.
        TimePoint approachAt {};    ///< When the factor next halves its distance to 1.
        bool reportedSlow { false };
    };

    double knownFactor(const UpstreamRecord &upstream) const;
    bool wasLate(TimePoint since, TimePoint now) const;
    void addSample(Process &process, const Sample &sample);
    void setFactor(Process &process, double factor);

    std::unordered_map<std::string, Process> m_processes;
    std::size_t m_slowCount { 0 };
    std::optional<TimePoint> m_timerAt {};
    Duration m_timerInterval {};
    TimePoint m_lateUntil {};
};

} // namespace Lavenderpick
