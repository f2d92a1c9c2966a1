#include "lavenderpick/Http/ServerSentEvents.h"

#include "lavenderpick/Base/Error.h"

namespace Lavenderpick {

namespace {

constexpr std::size_t maximumEventBytes = 1024 * 1024;

} // namespace

std::string formatServerSentEvent(std::string_view data)
{
    std::string event = "data: ";
    event.append(data).append("\n\n");
    return event;
}

bool ServerSentEventParser::feed(std::string_view bytes, const Handler &handler)
{
    m_pending.append(bytes);
    std::size_t start = 0;
    bool goOn = true;
    while (goOn) {
        const std::size_t end = m_pending.find('\n', start);
        if (end == std::string::npos)
            break;
        std::string_view line = std::string_view(m_pending).substr(start, end - start);
        start = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.starts_with("data:"))
            continue;
        line.remove_prefix(line.starts_with("data: ") ? 6 : 5);
        goOn = handler(line);
    }
    m_pending.erase(0, start);
    if (m_pending.size() > maximumEventBytes)
        throw Error(ErrorKind::InvalidMessage, "A server-sent event is too large",
                    "Check the peer's release.");
    return goOn;
}

} // namespace Lavenderpick
