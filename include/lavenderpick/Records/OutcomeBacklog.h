#pragma once

#include "lavenderpick/Records/CallProtocol.h"

#include <deque>
#include <functional>
#include <mutex>

namespace Lavenderpick {

/// Outcomes that wait for the store to return, oldest first. Safe for concurrent use.
///
/// The size is bounded because a sidecar has 128 MB. An outcome that does not fit is dropped: its
/// record stays `started`, which callers see as "unknown".
class OutcomeBacklog
{
public:
    explicit OutcomeBacklog(std::size_t maximumBytes);

    /// Returns false when the outcome does not fit.
    bool add(const CallExecution &execution);

    /// Passes each outcome to `record`, which returns whether it is settled; stops at the first
    /// that is not. Returns how many remain.
    std::size_t drain(const std::function<bool(CallExecution &)> &record);

    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::mutex m_drainMutex;
    std::deque<CallExecution> m_outcomes;
    std::size_t m_bytes { 0 };
    std::size_t m_maximumBytes;
};

} // namespace Lavenderpick
