#pragma once

#include "lavenderpick/Base/Clock.h"

#include <httplib.h>
#include <optional>
#include <string>

namespace Lavenderpick {

/// Shows whether the caller of a request has closed its connection while the handler still works.
///
/// cpp-httplib does not hand the socket to handlers, so it is found by its peer's address among the
/// process's own descriptors. It stays open, and so keeps its number, as long as the handler runs.
class CallerConnection
{
public:
    CallerConnection(const httplib::Request &request, const Clock &clock);

    /// Looks at most once a second, since finding the socket reads all descriptors. False when the
    /// socket can't be found.
    bool hasLeft();

private:
    std::optional<int> findSocket() const;

    std::string m_peerAddress;
    int m_peerPort;
    const Clock &m_clock;
    TimePoint m_nextCheck;
    std::optional<int> m_socket {};
    bool m_left { false };
};

} // namespace Lavenderpick
