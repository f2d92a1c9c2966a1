#include "lavenderpick/Upstream/AttemptBuffer.h"

#include <algorithm>

namespace Lavenderpick {

AttemptBuffer::AttemptBuffer(std::string attemptId, const std::string &resumeText,
                             std::int64_t resumeOffset)
    : m_attemptId(std::move(attemptId))
    , m_firstOffset(resumeOffset)
{
    m_digest.update(resumeText);
}

bool AttemptBuffer::addToken(std::int64_t offset, const std::string &text)
{
    if (hasEnded() || offset != nextOffset())
        return false;
    m_tokens.push_back(text);
    m_digest.update(text);
    return true;
}

bool AttemptBuffer::end(std::int64_t count, const std::string &digest,
                        const std::string &finishReason, const Usage &usage)
{
    if (hasEnded())
        return m_last->type == AttemptEventType::End;
    if (count != nextOffset() || digest != m_digest.hexDigest()) {
        fail(std::string(toString(RefusalReason::UpstreamFailed)), Ran::Yes);
        return false;
    }
    m_last = AttemptEvent { .type = AttemptEventType::End,
                            .attemptId = m_attemptId,
                            .offset = count,
                            .count = count,
                            .digest = digest,
                            .finishReason = finishReason,
                            .usage = usage };
    return true;
}

void AttemptBuffer::fail(const std::string &reason, Ran ran)
{
    if (hasEnded())
        return;
    m_last = AttemptEvent { .type = AttemptEventType::Failed,
                            .attemptId = m_attemptId,
                            .reason = reason,
                            .ran = std::string(toString(ran)) };
}

std::vector<AttemptEvent> AttemptBuffer::eventsFrom(std::int64_t from, std::size_t limit) const
{
    std::vector<AttemptEvent> events;
    std::int64_t offset = std::max(from, m_firstOffset);
    for (; offset < nextOffset() && events.size() < limit; ++offset)
        events.push_back({ .type = AttemptEventType::Token,
                           .attemptId = m_attemptId,
                           .offset = offset,
                           .text = m_tokens[static_cast<std::size_t>(offset - m_firstOffset)] });
    if (m_last && events.size() < limit)
        events.push_back(*m_last);
    return events;
}

std::int64_t AttemptBuffer::nextOffset() const
{
    return m_firstOffset + static_cast<std::int64_t>(m_tokens.size());
}

} // namespace Lavenderpick
