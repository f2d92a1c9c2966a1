#include "Services/Entry/CompletionStream.h"

#include "lavenderpick/Base/Error.h"

namespace Lavenderpick {

namespace {

// An agent of a newer release may send a reason that this one does not know.
RefusalReason reasonOrUpstreamFailed(const std::string &name)
{
    try {
        return parseRefusalReason(name);
    } catch (const Error &) {
        return RefusalReason::UpstreamFailed;
    }
}

// A request that no upstream can accept fails the same way everywhere.
bool isPermanent(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::BodyTooLarge:
    case RefusalReason::Forbidden:
    case RefusalReason::DeadlineExceeded:
    case RefusalReason::Cancelled:
        return true;
    default:
        return false;
    }
}

} // namespace

CompletionStream::CompletionStream(const Limits &limits, std::string text, std::int64_t count)
    : m_limits(limits)
    , m_text(std::move(text))
    , m_count(count)
{
    m_digest.update(m_text);
}

void CompletionStream::startAttempt(std::string attemptId)
{
    m_attemptId = std::move(attemptId);
    m_fruitlessResumes = 0;
    ++m_attempts;
}

StreamStep CompletionStream::onEvent(const AttemptEvent &event)
{
    if (m_ended || event.attemptId != m_attemptId)
        return drop();
    switch (event.type) {
    case AttemptEventType::Token:
        return onToken(event);
    case AttemptEventType::End:
        return onEnd(event);
    case AttemptEventType::Failed:
        return onFailed(event);
    }
    return drop();
}

StreamStep CompletionStream::onInterruption()
{
    if (m_ended)
        return StreamStep::Fail;
    ++m_fruitlessResumes;
    return m_fruitlessResumes <= m_limits.fruitlessResumes ? StreamStep::Resume : onAttemptLost();
}

StreamStep CompletionStream::onAttemptLost()
{
    if (!m_ended && m_attempts < m_limits.attempts)
        return StreamStep::NewAttempt;
    m_ended = true;
    return StreamStep::Fail;
}

StreamStep CompletionStream::onToken(const AttemptEvent &event)
{
    if (event.offset < m_count)
        return drop();
    // A gap means that events were lost on this connection; the agent still buffers them.
    if (event.offset > m_count)
        return onInterruption();
    m_text += event.text;
    m_digest.update(event.text);
    ++m_count;
    m_fruitlessResumes = 0;
    return StreamStep::Deliver;
}

StreamStep CompletionStream::onEnd(const AttemptEvent &event)
{
    if (event.count > m_count)
        return onInterruption();
    m_ended = true;
    // The caller may already have received the wrong text, so another attempt can't repair it.
    if (event.count != m_count || event.digest != m_digest.hexDigest()) {
        m_failure = RefusalReason::UpstreamFailed;
        return StreamStep::Fail;
    }
    m_finishReason = event.finishReason;
    m_usage = event.usage;
    // An engine that resumed counts only what it generated itself.
    m_usage.completionTokens = m_count;
    return StreamStep::Finish;
}

StreamStep CompletionStream::onFailed(const AttemptEvent &event)
{
    m_failure = reasonOrUpstreamFailed(event.reason);
    if (!isPermanent(m_failure))
        return onAttemptLost();
    m_ended = true;
    return StreamStep::Fail;
}

StreamStep CompletionStream::drop()
{
    ++m_dropped;
    return StreamStep::Drop;
}

} // namespace Lavenderpick
