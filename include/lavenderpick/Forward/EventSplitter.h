#pragma once

#include <string>
#include <string_view>

namespace Lavenderpick {

/// Cuts the bytes of a server-sent event stream into whole events, so that a stream that breaks in
/// the middle of an event can go on at another upstream.
class EventSplitter
{
public:
    /// Takes bytes and returns those that end with a whole event.
    std::string feed(std::string_view bytes);

    /// Forgets the beginning of an event that was cut off; returns how many bytes it had.
    std::size_t discardPartial();

    /// Bytes of an event that is not whole yet.
    std::size_t partialBytes() const { return m_partial.size(); }

    /// The id of the last whole event; empty before the first.
    const std::string &lastEventId() const { return m_lastEventId; }

    std::size_t eventCount() const { return m_eventCount; }

private:
    void parseEvents(std::string_view events);

    std::string m_partial;
    std::size_t m_lineStart { 0 }; ///< In the partial event, of the line that is not whole yet.
    std::string m_lastEventId;
    std::size_t m_eventCount { 0 };
};

} // namespace Lavenderpick
