#pragma once

#include <string>
#include <string_view>

namespace Lavenderpick {

/// Splits the bytes of a server-sent event stream into complete events, so that a stream that
/// breaks in the middle of an event can resume at another upstream.
class EventSplitter
{
public:
    /// Adds bytes and returns all buffered bytes up to the end of the last complete event.
    std::string feed(std::string_view bytes);

    /// Discards an incomplete event and returns its size in bytes.
    std::size_t discardPartial();

    /// Size of the incomplete event, in bytes.
    std::size_t partialBytes() const { return m_partial.size(); }

    /// The last id in the complete events; empty before the first.
    const std::string &lastEventId() const { return m_lastEventId; }

    /// Whether no complete event came after the one with the last id. A stream that resumes after
    /// that id would otherwise repeat events.
    bool endsWithId() const { return m_endsWithId; }

    std::size_t eventCount() const { return m_eventCount; }

private:
    void parseEvents(std::string_view events);

    std::string m_partial;
    std::size_t m_lineStart { 0 }; ///< Offset of the incomplete line in `m_partial`.
    std::string m_lastEventId;
    std::size_t m_eventCount { 0 };
    bool m_endsWithId { true };
};

} // namespace Lavenderpick
