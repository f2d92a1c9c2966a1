#pragma once

#include "lavenderpick/Base/Random.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_set>

namespace Lavenderpick {

/// A token for one attempt of a call: the time of its making and 128 random bits.
std::string newCallToken(Random &random, std::int64_t wallSeconds);

/// Admits each attempt to an agent once. Safe for concurrent use.
///
/// An agent may refuse an attempt as "not run" without touching the record. A second copy of the
/// message that arrives later must not start it then. The gate remembers the tokens it saw for as
/// long as it accepts them, and refuses tokens made before this process started, because its
/// predecessor may have refused them.
class AttemptGate
{
public:
    /// `startedAt` is when this process started, in seconds since the Unix epoch.
    explicit AttemptGate(std::int64_t startedAt);

    /// Whether this is the first delivery of the attempt. A token of another form than that of
    /// `newCallToken` is checked against the remembered ones only.
    bool admit(const std::string &token, std::int64_t wallSeconds);

private:
    struct Seen
    {
        std::string token;
        std::int64_t forgetAt;
    };

    void forget(std::int64_t wallSeconds);

    const std::int64_t m_startedAt;
    std::mutex m_mutex;
    std::deque<Seen> m_order {};
    std::unordered_set<std::string> m_seen {};
};

} // namespace Lavenderpick
