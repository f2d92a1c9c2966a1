#include "lavenderpick/Forward/EventSplitter.h"

namespace Lavenderpick {

std::string EventSplitter::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    std::size_t end = 0;
    std::size_t lineFeed = m_partial.find('\n', m_lineStart);
    while (lineFeed != std::string::npos) {
        const std::size_t length = lineFeed - m_lineStart;
        const bool blank = length == 0 || (length == 1 && m_partial[m_lineStart] == '\r');
        m_lineStart = lineFeed + 1;
        if (blank)
            end = m_lineStart;
        lineFeed = m_partial.find('\n', m_lineStart);
    }
    m_lineStart -= end;
    std::string complete = m_partial.substr(0, end);
    m_partial.erase(0, end);
    parseEvents(complete);
    return complete;
}

std::size_t EventSplitter::discardPartial()
{
    const std::size_t dropped = m_partial.size();
    m_partial.clear();
    m_lineStart = 0;
    return dropped;
}

void EventSplitter::parseEvents(std::string_view events)
{
    bool inEvent = false;
    bool hasId = false;
    while (!events.empty()) {
        const std::size_t end = events.find('\n');
        std::string_view line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.empty()) {
            if (inEvent) {
                ++m_eventCount;
                m_endsWithId = hasId;
            }
            inEvent = false;
            hasId = false;
            continue;
        }
        if (line.front() == ':')
            continue; // A comment.
        inEvent = true;
        constexpr std::string_view idField = "id:";
        if (line.substr(0, idField.size()) != idField)
            continue;
        line.remove_prefix(idField.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        m_lastEventId = line;
        hasId = true;
    }
}

} // namespace Lavenderpick
