#pragma once

#include "lavenderpick/Base/Clock.h"

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>

namespace Lavenderpick {

/// Counts running requests, so that a graceful shutdown can wait for them. Safe for concurrent use.
class DrainGate
{
public:
    /// Keeps the shutdown waiting while it exists.
    class Pass
    {
    public:
        explicit Pass(DrainGate &gate);
        ~Pass();
        Pass(const Pass &) = delete;
        Pass &operator=(const Pass &) = delete;

    private:
        DrainGate &m_gate;
    };

    /// Null once the gate is closed.
    std::shared_ptr<Pass> enter();

    /// Says that the process will stop: it is not ready any more, but still takes requests.
    void announce();

    /// Refuses requests from now on.
    void close();

    bool isAnnounced() const;
    std::size_t running() const;

    /// Returns whether all passes were returned within `limit`.
    bool waitUntilEmpty(Duration limit);

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_running { 0 };
    bool m_announced { false };
    bool m_closed { false };
};

} // namespace Lavenderpick
