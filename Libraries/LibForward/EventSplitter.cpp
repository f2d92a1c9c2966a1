#include "lavenderpick/Forward/EventSplitter.h"

namespace Lavenderpick {

std::string EventSplitter::take(std::string_view bytes)
{
    m_partial.append(bytes);
    const std::size_t lineFeeds = m_partial.rfind("\n\n");
    const std::size_t lines = m_partial.rfind("\r\n\r\n");
    std::size_t end = 0;
    if (lineFeeds != std::string::npos)
        end = lineFeeds + 2;
    if (lines != std::string::npos && lines + 4 > end)
        end = lines + 4;
    std::string whole = m_partial.substr(0, end);
    m_partial.erase(0, end);
    readEvents(whole);
    return whole;
}

std::size_t EventSplitter::dropPartial()
{
    const std::size_t dropped = m_partial.size();
    m_partial.clear();
    return dropped;
}

void EventSplitter::readEvents(std::string_view events)
{
    bool inEvent = false;
    while (!events.empty()) {
        const std::size_t end = events.find('\n');
        std::string_view line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.empty()) {
            m_eventCount += inEvent ? 1 : 0;
            inEvent = false;
            continue;
        }
        inEvent = true;
        constexpr std::string_view idField = "id:";
        if (line.substr(0, idField.size()) != idField)
            continue;
        line.remove_prefix(idField.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        m_lastEventId = line;
    }
}

} // namespace Lavenderpick
