#include "Services/Entry/CallerConnection.h"

#include <array>
#include <charconv>
#include <filesystem>
#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>

namespace Lavenderpick {

namespace {

constexpr Seconds checkPeriod { 1 };

bool isPeer(int descriptor, const std::string &address, int port)
{
    sockaddr_storage peer {};
    socklen_t size = sizeof peer;
    if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) != 0
        || (peer.ss_family != AF_INET && peer.ss_family != AF_INET6))
        return false;
    std::array<char, NI_MAXHOST> host {};
    std::array<char, NI_MAXSERV> service {};
    if (getnameinfo(reinterpret_cast<const sockaddr *>(&peer), size, host.data(), host.size(),
                    service.data(), service.size(), NI_NUMERICHOST | NI_NUMERICSERV)
        != 0)
        return false;
    return address == host.data() && std::to_string(port) == service.data();
}

} // namespace

CallerConnection::CallerConnection(const httplib::Request &request, const Clock &clock)
    : m_peerAddress(request.remote_addr)
    , m_peerPort(request.remote_port)
    , m_clock(clock)
    , m_nextCheck(clock.now() + checkPeriod)
{ }

bool CallerConnection::hasLeft()
{
    if (m_left || m_clock.now() < m_nextCheck)
        return m_left;
    m_nextCheck = m_clock.now() + checkPeriod;
    if (!m_socket)
        m_socket = findSocket();
    if (!m_socket)
        return false;
    pollfd state { .fd = *m_socket, .events = POLLRDHUP, .revents = 0 };
    m_left = poll(&state, 1, 0) == 1 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    return m_left;
}

std::optional<int> CallerConnection::findSocket() const
{
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd", error)) {
        const std::string name = entry.path().filename().string();
        int descriptor = -1;
        std::from_chars(name.data(), name.data() + name.size(), descriptor);
        if (isPeer(descriptor, m_peerAddress, m_peerPort))
            return descriptor;
    }
    return std::nullopt;
}

} // namespace Lavenderpick
