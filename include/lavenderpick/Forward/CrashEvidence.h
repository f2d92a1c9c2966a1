#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A request whose upstream broke off the response, or closed the connection without one.
struct BrokenAttempt
{
    std::string upstream;
    std::vector<std::string> promptParts; ///< Those that other prompts may contain too.

    bool operator==(const BrokenAttempt &) const = default;
};

/// Parts that together are suspected to crash each upstream that decodes a prompt with all of them.
/// More than one only as long as they never occurred apart.
struct SuspectedParts
{
    std::vector<std::string> parts; ///< Sorted.
    TimePoint firstCrash {};
    std::size_t moments { 0 }; ///< Times at which upstreams with such a request crashed.
    std::size_t crashes { 0 };

    bool operator==(const SuspectedParts &) const = default;
};

/// Finds the part of a prompt that crashes upstreams, from the requests that were open at each
/// upstream when it crashed and from the requests that were completed. Not safe for concurrent use.
///
/// A crash breaks all requests at an upstream, most of them innocent, and the harmful prompts may
/// have their other parts in common with many sound ones. Three facts separate them: the harmful
/// part is open at every crash that it causes, at several separate times, and is never completed.
class CrashEvidence
{
public:
    /// Attempts that break at one upstream within this time broke in the same crash.
    static constexpr Duration crashSpan { Milliseconds(1'500) };
    /// Crashes of several upstreams within this time may have one common cause, such as the
    /// network.
    static constexpr Duration momentSpan { Milliseconds(150) };
    /// A crash counts this long after it, when the peers' reports of it have arrived.
    static constexpr Duration settlingTime { Milliseconds(200) };
    /// Crashes and completions are remembered for this long.
    static constexpr Duration memory { Seconds(30) };
    /// Parts of one prompt that are regarded, so that long lists use up neither memory nor packets.
    static constexpr std::size_t maximumParts = 32;
    static constexpr std::size_t minimumMoments = 3;
    /// A part that was sound before is suspected only after more crashes, and only if it has not
    /// been completed for `soundTime`.
    static constexpr std::size_t minimumMomentsIfSound = 6;
    static constexpr Duration soundTime { Seconds(3) };

    void recordBroken(const BrokenAttempt &attempt, TimePoint now);

    /// Records a complete response to a prompt that was sent at `sentAt`.
    void recordCompleted(const std::vector<std::string> &parts, TimePoint sentAt, TimePoint now);

    /// Records that a peer completed a prompt with this part.
    void recordSound(const std::string &part, TimePoint sentAt);

    /// Whether an attempt broke off at the upstream at `time` or later.
    bool hasCrashedSince(const std::string &upstream, TimePoint time) const;

    /// When the newest completed prompt with this part was sent; empty if none is remembered.
    std::optional<TimePoint> soundSince(const std::string &part) const;

    /// The parts that explain most of the unexplained crashes, if they do so beyond doubt.
    std::optional<SuspectedParts> suspect(TimePoint now) const;

    /// The crashes of prompts with these parts no longer count against other parts.
    void explain(const std::vector<std::string> &parts);

    /// Drops what is older than `memory`.
    void expire(TimePoint now);

private:
    struct Crash
    {
        std::string upstream;
        TimePoint at;
        std::vector<std::vector<std::string>> prompts; ///< Their shared parts, sorted.
        bool explained { false };
    };
    struct Score
    {
        std::size_t moments { 0 };
        std::size_t crashes { 0 };
        std::size_t prompts { 0 };
        TimePoint first {};
        TimePoint lastMoment {};
        const Crash *lastCrash { nullptr };
    };
    using Scores = std::map<std::string, Score>;

    Scores scores(TimePoint now) const;
    bool counts(const std::string &part, const Crash &crash) const;
    bool isConvincing(const std::string &part, const Score &score, TimePoint now) const;
    std::vector<std::string> alwaysTogetherWith(const std::string &part) const;
    std::vector<std::string> withoutSoundParts(std::vector<std::string> parts,
                                               const std::string &suspect) const;
    std::size_t crashesBetween(TimePoint begin, TimePoint end) const;
    std::size_t completionsSince(TimePoint time) const;

    std::deque<Crash> m_crashes;              ///< Oldest first.
    std::map<std::string, TimePoint> m_sound; ///< By part.
    std::deque<TimePoint> m_completions;
};

/// Whether `prompt` contains all of `parts`; both are sorted.
bool containsParts(const std::vector<std::string> &prompt, const std::vector<std::string> &parts);

} // namespace Lavenderpick
