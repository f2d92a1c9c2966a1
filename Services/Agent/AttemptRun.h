#pragma once

#include "Services/Agent/UpstreamGate.h"
#include "lavenderpick/Base/Reasons.h"
#include "lavenderpick/Upstream/AttemptBuffer.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace Lavenderpick {

/// One attempt: a reader thread fills the buffer from the engine's stream, and any number of
/// serving threads wait for its events.
class AttemptRun
{
public:
    AttemptRun(AttemptRequest request, std::int64_t enginePriority, Engine &engine,
               UpstreamGate &gate, const Clock &clock);

    /// Joins the reader.
    ~AttemptRun();

    AttemptRun(const AttemptRun &) = delete;
    AttemptRun &operator=(const AttemptRun &) = delete;

    /// Starts the reader; `onEnded` is called on it after the last event. Without effect after
    /// `cancel`.
    void start(std::function<void()> onEnded);

    /// Ends the attempt with `reason` as seen by its readers and cancels it at the engine. Returns
    /// false when it had ended.
    bool cancel(RefusalReason reason);

    /// Ends the attempt for its readers without waiting for the engine; the engine's part is
    /// cancelled when it responds again.
    bool fail(RefusalReason reason);

    /// Events from `from`; waits up to `timeout` for the first. Empty: nothing new.
    std::vector<AttemptEvent> waitForEvents(std::int64_t from, Duration timeout);

    bool hasEnded() const;
    bool isStarted() const;

    /// Whether the engine may hold something for this attempt that it shall keep.
    bool claimsEngine() const;

private:
    void read();
    void readStream();
    bool readOnce(bool resume);
    bool onEvent(const EngineEvent &event);
    bool pauseBeforeRetry();
    void cancelAtEngine();

    AttemptRequest m_request; ///< Texts are the reader's; it frees them at its end.
    const std::int64_t m_enginePriority;
    Engine &m_engine;
    UpstreamGate &m_gate;
    const Clock &m_clock;
    TimePoint m_startedAt {};
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    AttemptBuffer m_buffer;
    bool m_cancelled { false };
    bool m_started { false };
    bool m_readerDone { false };
    std::thread m_reader;
};

} // namespace Lavenderpick
