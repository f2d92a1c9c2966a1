#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Lavenderpick {

/// One event with the given data, which must not contain line breaks.
std::string formatServerSentEvent(std::string_view data);

/// A comment that keeps a quiet stream alive and shows the writer when its reader has left.
constexpr std::string_view serverSentEventHeartbeat = ": heartbeat\n\n";

/// Splits a byte stream into events.
class ServerSentEventParser
{
public:
    /// Called with the data of each event, and with nothing else; returns false to stop.
    using Handler = std::function<bool(std::string_view data)>;

    /// Feeds bytes; returns false when the handler stopped. Throws `Error` of kind InvalidMessage
    /// when an unfinished event is larger than 1 MiB.
    bool feed(std::string_view bytes, const Handler &handler);

private:
    std::string m_pending;
};

} // namespace Lavenderpick
