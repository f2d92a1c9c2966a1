#include "Services/Entry/AnswerChannel.h"

namespace Lavenderpick {

namespace {

constexpr std::size_t maximumPendingBytes = 64 * 1024;
// As long as the server waits for a caller to read.
constexpr Seconds longestStall { 10 };

} // namespace

bool AnswerChannel::onText(const std::string &text)
{
    std::unique_lock lock(m_mutex);
    const bool hasRoom = m_changed.wait_for(
            lock, longestStall, [this] { return !m_open || m_text.size() < maximumPendingBytes; });
    m_open = m_open && hasRoom;
    if (!m_open)
        return false;
    m_text += text;
    m_changed.notify_all();
    return true;
}

bool AnswerChannel::isOpen()
{
    const std::lock_guard lock(m_mutex);
    return m_open;
}

void AnswerChannel::finish(CompletionOutcome outcome)
{
    const std::lock_guard lock(m_mutex);
    m_outcome = std::move(outcome);
    m_changed.notify_all();
}

AnswerChannel::Progress AnswerChannel::take(Duration limit)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, limit, [this] { return !m_text.empty() || m_outcome; });
    Progress progress { .text = std::move(m_text), .outcome = std::move(m_outcome) };
    m_text.clear();
    m_outcome.reset();
    m_changed.notify_all();
    return progress;
}

void AnswerChannel::close()
{
    const std::lock_guard lock(m_mutex);
    m_open = false;
    m_changed.notify_all();
}

} // namespace Lavenderpick
