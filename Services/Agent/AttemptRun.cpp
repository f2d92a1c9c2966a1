#include "Services/Agent/AttemptRun.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"

#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

constexpr std::size_t maximumEventsAtOnce = 256;
constexpr Milliseconds retryPause { 200 };
// An engine that refuses connections this often in a row, over half a second, is gone.
constexpr int maximumRefusedConnections = 3;

} // namespace

AttemptRun::AttemptRun(AttemptRequest request, std::int64_t enginePriority, Engine &engine,
                       UpstreamGate &gate, const Clock &clock)
    : m_request(std::move(request))
    , m_enginePriority(enginePriority)
    , m_engine(engine)
    , m_gate(gate)
    , m_clock(clock)
    , m_buffer(m_request.attemptId, m_request.resumeText, m_request.resumeOffset)
{ }

AttemptRun::~AttemptRun()
{
    if (m_reader.joinable())
        m_reader.join();
}

void AttemptRun::start(std::function<void()> onEnded)
{
    const std::lock_guard lock(m_mutex);
    if (m_buffer.hasEnded() || m_started)
        return;
    m_started = true;
    m_startedAt = m_clock.now();
    m_reader = std::thread([this, onEnded = std::move(onEnded)] {
        read();
        onEnded();
    });
}

bool AttemptRun::cancel(RefusalReason reason)
{
    const bool ended = fail(reason);
    if (isStarted())
        cancelAtEngine();
    return ended;
}

bool AttemptRun::fail(RefusalReason reason)
{
    const std::lock_guard lock(m_mutex);
    if (m_buffer.hasEnded())
        return false;
    m_cancelled = true;
    m_buffer.fail(std::string(toString(reason)), m_started ? Ran::Yes : Ran::No);
    m_changed.notify_all();
    return true;
}

std::vector<AttemptEvent> AttemptRun::waitForEvents(std::int64_t from, Duration timeout)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout,
                       [&] { return m_buffer.hasEnded() || m_buffer.nextOffset() > from; });
    return m_buffer.eventsFrom(from, maximumEventsAtOnce);
}

bool AttemptRun::hasEnded() const
{
    const std::lock_guard lock(m_mutex);
    return m_buffer.hasEnded() && (!m_started || m_readerDone);
}

bool AttemptRun::isStarted() const
{
    const std::lock_guard lock(m_mutex);
    return m_started;
}

bool AttemptRun::claimsEngine() const
{
    const std::lock_guard lock(m_mutex);
    return m_started && !m_buffer.hasEnded();
}

void AttemptRun::read()
{
    try {
        readStream();
    } catch (const std::exception &error) {
        log(LogLevel::Warning, "attempt", error.what(), { { "attempt_id", m_request.attemptId } });
        fail(RefusalReason::UpstreamFailed);
    }
    bool mustCancel = false;
    {
        const std::lock_guard lock(m_mutex);
        m_buffer.fail(std::string(toString(RefusalReason::UpstreamFailed)), Ran::Yes);
        mustCancel = m_buffer.lastEvent()->type == AttemptEventType::Failed;
        m_readerDone = true;
    }
    // An ended attempt is kept for late readers; its prompt may be megabytes.
    m_request.prompt = {};
    m_request.resumeText = {};
    // A cancel that overtook the request found nothing at the engine.
    if (mustCancel)
        cancelAtEngine();
    m_gate.finished(m_request.attemptId);
    m_changed.notify_all();
}

// The engine is asked for the stream once; after a broken or silent connection the stream is
// resumed where the buffer ends.
void AttemptRun::readStream()
{
    int refused = 0;
    bool sent = false;
    while (claimsEngine()) {
        try {
            if (readOnce(sent))
                return;
            sent = true;
            refused = 0;
        } catch (const Error &error) {
            if (error.kind() == ErrorKind::UpstreamUnavailable) {
                if (++refused >= maximumRefusedConnections)
                    throw;
            } else if (error.kind() == ErrorKind::UpstreamFailed) {
                sent = true;
                refused = 0;
            } else {
                throw;
            }
        }
        if (!pauseBeforeRetry())
            return;
    }
}

bool AttemptRun::readOnce(bool resume)
{
    const auto receiver = [this](const EngineEvent &event) { return onEvent(event); };
    if (!resume) {
        m_engine.generate({ .id = m_request.attemptId,
                            .prompt = m_request.prompt,
                            .maximumTokens = m_request.maximumTokens,
                            .priority = m_enginePriority,
                            .resumeText = m_request.resumeText,
                            .resumeOffset = m_request.resumeOffset,
                            .handles = m_request.handles },
                          receiver);
    } else {
        std::int64_t from = 0;
        {
            const std::lock_guard lock(m_mutex);
            from = m_buffer.nextOffset();
        }
        m_engine.resume(m_request.attemptId, from, receiver);
    }
    return !claimsEngine();
}

bool AttemptRun::onEvent(const EngineEvent &event)
{
    const std::lock_guard lock(m_mutex);
    if (m_cancelled || m_buffer.hasEnded())
        return false;
    if (event.done) {
        const bool full = event.count >= m_request.maximumTokens;
        m_buffer.end(event.count, event.digest, full ? "length" : "stop",
                     { .promptTokens = event.promptTokens,
                       .completionTokens = event.count,
                       .cachedTokens = event.cachedTokens });
    } else if (m_buffer.addToken(event.offset, event.text)
               && event.offset == m_request.resumeOffset) {
        m_gate.observePrefill(static_cast<std::int64_t>(m_request.prompt.size()) / 4,
                              m_clock.now() - m_startedAt);
    }
    m_changed.notify_all();
    return !m_buffer.hasEnded();
}

bool AttemptRun::pauseBeforeRetry()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, retryPause, [this] { return m_buffer.hasEnded(); });
    return !m_buffer.hasEnded();
}

void AttemptRun::cancelAtEngine()
{
    try {
        m_engine.cancel(m_request.attemptId);
    } catch (const Error &error) {
        // The inventory shows the stream once the engine responds again.
        log(LogLevel::Info, "attempt", error.what(), { { "attempt_id", m_request.attemptId } });
    }
}

} // namespace Lavenderpick
