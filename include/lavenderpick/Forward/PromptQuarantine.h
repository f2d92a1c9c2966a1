#pragma once

#include "lavenderpick/Forward/CrashEvidence.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Evidence and decisions about prompts that crash upstreams, as exchanged between gateways.
struct QuarantineNews
{
    struct Sound
    {
        std::string part;
        Duration sentAgo {}; ///< Since the newest completed prompt with this part was sent.

        bool operator==(const Sound &) const = default;
    };
    struct Held
    {
        std::vector<std::string> parts; ///< Sorted.
        Duration left {};               ///< Until prompts with these parts are accepted again.
        Duration firstCrashAgo {};
        int timesHeld { 1 };

        bool operator==(const Held &) const = default;
    };

    std::vector<BrokenAttempt> broken;
    std::vector<Sound> sound;
    std::vector<Held> held;

    bool isEmpty() const { return broken.empty() && sound.empty() && held.empty(); }

    bool operator==(const QuarantineNews &) const = default;
};

/// Rejects prompts with a part that crashes each upstream that decodes it. Not safe for concurrent
/// use.
///
/// Load: such prompts arrive at any gateway, each gateway sees some of the crashes, and sound
/// prompts share their customer and other parts. Each gateway reports the attempts that broke off,
/// answers reports about parts that it knows to be sound, decides by itself (`CrashEvidence`), and
/// reports what it decided. A gateway that missed reports or has restarted adopts its peers'
/// decisions.
///
/// A quarantine ends by itself, since the upstreams may have been repaired. The first crash after
/// that renews it for twice as long. It ends at once when a prompt with one of its parts is
/// completed that was sent after the first crash.
class PromptQuarantine
{
public:
    static constexpr Duration firstHold { Seconds(120) };
    static constexpr Duration maximumHold { Seconds(3'600) };
    /// A part that crashes no upstream for this long after its quarantine is forgotten.
    static constexpr Duration probation { Seconds(3'600) };

    /// Receives each change: the parts, whether they are now held, and what was seen of them.
    using ChangeHandler = std::function<void(const SuspectedParts &, bool held)>;

    /// Who reported a broken attempt.
    enum class Origin {
        Own,
        Group, ///< A gateway whose reports reach only this gateway's group.
        Other,
    };

    void setChangeHandler(ChangeHandler handler) { m_changeHandler = std::move(handler); }

    /// How much longer prompts with these parts are rejected; empty if they are accepted.
    std::optional<Duration> holdTime(const std::vector<std::string> &promptParts,
                                     TimePoint now) const;

    /// Records that the upstream broke off this gateway's request.
    void recordBroken(BrokenAttempt attempt, TimePoint now);

    /// Records a complete response to this gateway's request, which was sent at `sentAt`.
    void recordCompleted(const std::vector<std::string> &promptParts, TimePoint sentAt,
                         TimePoint now);

    /// Records a response of the upstream that ended with its connection, which a crash ends too.
    /// It counts as complete once no request has broken off there for `CrashEvidence::crashSpan`
    /// before and after its end.
    void recordCompletedAtClose(const std::string &upstream,
                                const std::vector<std::string> &promptParts, TimePoint sentAt,
                                TimePoint now);

    /// Applies what a peer reported.
    void apply(const QuarantineNews &news, Origin origin, TimePoint now);

    /// Evidence not yet taken, for the gateways of the group.
    QuarantineNews takeNews();

    /// Evidence of the group not yet taken, and decisions, for the gateways of other groups.
    QuarantineNews takeGroupNews(TimePoint now);

    /// What is held now. Sent with every heartbeat, so that lost reports do no harm.
    std::vector<QuarantineNews::Held> held(TimePoint now) const;

    /// Decides on the evidence, and drops what is old. Called several times a second.
    void update(TimePoint now);

private:
    struct Entry
    {
        SuspectedParts suspicion;
        TimePoint until {};
        int timesHeld { 1 };

        bool isHeld(TimePoint now) const { return now < until; }
    };

    /// A response that may have been ended by a crash.
    struct UnconfirmedCompletion
    {
        std::string upstream;
        std::vector<std::string> promptParts;
        TimePoint sentAt {};
        TimePoint endedAt {};
    };

    void confirmCompletions(TimePoint now);
    /// Leaves at most `CrashEvidence::maximumParts` parts, sound ones last.
    void limitParts(std::vector<std::string> &parts) const;
    void addEvidence(const BrokenAttempt &attempt, Origin origin, TimePoint now);
    void renewOrExplain(const std::vector<std::string> &prompt, TimePoint now);
    void decide(TimePoint now);
    void hold(Entry entry);
    void adopt(const QuarantineNews::Held &held, TimePoint now);
    void release(const std::string &part, TimePoint sentAt);
    void answer(const std::vector<std::string> &parts, TimePoint now);
    void reportSound(const std::string &part, TimePoint sentAt, TimePoint now);
    void notify(const SuspectedParts &suspicion, bool held) const;

    CrashEvidence m_evidence;
    std::vector<Entry> m_entries;
    std::deque<UnconfirmedCompletion> m_unconfirmed; ///< By the time of their ends.
    QuarantineNews m_news;
    QuarantineNews m_groupNews;
    std::map<std::string, TimePoint> m_answeredAt; ///< By part that was reported as sound.
    ChangeHandler m_changeHandler;
};

} // namespace Lavenderpick
