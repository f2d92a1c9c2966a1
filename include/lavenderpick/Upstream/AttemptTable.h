#pragma once

#include "lavenderpick/Base/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderpick {

struct AttemptTableLimits
{
    /// An entry resumes a stream within 3 s (R6); three times that tells it has left.
    Duration abandonAfter { Seconds(10) };
    /// How long the events of an ended attempt can still be fetched.
    Duration keepEnded { Seconds(30) };
    std::size_t maximumAttempts { 256 };
};

/// Why a running attempt has to be cancelled.
enum class AttemptExpiry {
    Abandoned,
    DeadlinePassed,
};

/// Which attempts run, who reads them and when they expire. Performs no I/O and is not safe for
/// concurrent use.
class AttemptTable
{
public:
    explicit AttemptTable(const AttemptTableLimits &limits)
        : m_limits(limits)
    { }

    enum class AddResult {
        Added,
        Duplicate,
        Full,
    };

    AddResult add(const std::string &attemptId, TimePoint deadline, TimePoint now);

    /// A reader connects or leaves; a resumed stream may connect before the broken one leaves.
    void readerConnected(const std::string &attemptId);
    void readerLeft(const std::string &attemptId, TimePoint now);
    void ended(const std::string &attemptId, TimePoint now);

    /// A reader got the last event.
    void delivered(const std::string &attemptId);
    void remove(const std::string &attemptId) { m_attempts.erase(attemptId); }

    struct Expired
    {
        std::string attemptId;
        AttemptExpiry expiry;

        bool operator==(const Expired &) const = default;
    };

    /// Running attempts to cancel; each is returned until it has ended.
    std::vector<Expired> expired(TimePoint now) const;

    /// Removes and returns ended attempts that nobody reads any more.
    std::vector<std::string> removeOld(TimePoint now);

    std::size_t runningCount() const;

    /// Attempts that a graceful shutdown waits for: those that run, and those whose last event
    /// nobody got although the entry may still come back for it.
    std::size_t openCount(TimePoint now) const;
    std::vector<std::string> runningIds() const;

private:
    struct Attempt
    {
        TimePoint deadline;
        TimePoint lastRead;
        TimePoint endedAt {};
        int readers { 0 };
        bool hasEnded { false };
        bool isDelivered { false };
    };

    AttemptTableLimits m_limits;
    std::map<std::string, Attempt> m_attempts;
};

} // namespace Lavenderpick
