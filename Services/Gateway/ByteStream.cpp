#include "Services/Gateway/ByteStream.h"

#include "lavenderpick/Base/Log.h"

#include <array>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace Lavenderpick {

namespace {

constexpr std::size_t readBufferBytes = 65'536;
// A caller needs one round trip to receive the response; the rest allows for lost packets.
constexpr Milliseconds lingerTimeout { 1'000 };
// Users limit the time a request may wait for an unresponsive peer to about 3 s.
constexpr int unacknowledgedTimeoutMs = 1'500;
// A peer that reads nothing for this long counts as gone.
constexpr int slowReaderTimeoutMs = 15'000;
constexpr Milliseconds stalledOutputTimeout { slowReaderTimeoutMs };
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

std::array<char, readBufferBytes> &sharedReadBuffer()
{
    static std::array<char, readBufferBytes> buffer;
    return buffer;
}

void setOption(int socket, int level, int option, int value, const char *name)
{
    if (::setsockopt(socket, level, option, &value, sizeof(value)) != 0)
        log(LogLevel::Debug, "socket", std::string("the kernel rejected the option ") + name);
}

} // namespace

ByteStream::ByteStream(asio::ip::tcp::socket socket, std::string_view activity)
    : m_socket(std::move(socket))
    , m_turns(asio::use_service<EventLoopTurns>(
              asio::query(m_socket.get_executor(), asio::execution::context)))
    , m_activity(activity)
{ }

void ByteStream::configureSocket()
{
    asio::error_code ignored;
    m_socket.non_blocking(true, ignored);
    const int handle = m_socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1, "TCP_NODELAY");
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1, "SO_KEEPALIVE");
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds, "TCP_KEEPIDLE");
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds, "TCP_KEEPINTVL");
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes, "TCP_KEEPCNT");
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedTimeoutMs, "TCP_USER_TIMEOUT");
}

void ByteStream::setSlowReader(bool slow)
{
    if (isOpen())
        setOption(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                  slow ? slowReaderTimeoutMs : unacknowledgedTimeoutMs, "TCP_USER_TIMEOUT");
}

void ByteStream::startReading()
{
    if (!m_readPending)
        waitForInput();
}

void ByteStream::resumeReading()
{
    m_paused = false;
    startReading();
}

void ByteStream::waitForInput()
{
    if (!isOpen() || m_paused) {
        m_readPending = false;
        return;
    }
    m_readPending = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const asio::error_code &error) {
                            if (error) {
                                self->m_readPending = false;
                                return;
                            }
                            self->readInput();
                        });
}

void ByteStream::readInput()
{
    const EventLoopTurns::Activity activity(m_turns, m_activity);
    if (m_paused) {
        m_readPending = false;
        return;
    }
    asio::error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(sharedReadBuffer()), error);
    if (error == asio::error::would_block) {
        waitForInput();
        return;
    }
    if (error) {
        m_readPending = false;
        handleEnd(error == asio::error::eof && !m_writeFailed);
        return;
    }
    if (!m_closeAfterOutput && m_handler != nullptr)
        m_handler->bytesArrived({ sharedReadBuffer().data(), size });
    waitForInput();
}

void ByteStream::handleEnd(bool orderly)
{
    if (m_closeAfterOutput) {
        finishClosing();
        return;
    }
    ByteStreamHandler *handler = m_handler;
    if (!orderly)
        close();
    if (handler != nullptr)
        handler->streamEnded(orderly);
}

void ByteStream::write(std::string_view bytes)
{
    if (!isOpen() || m_closeAfterOutput)
        return;
    if (!m_output.empty()) {
        m_output.append(bytes);
        return;
    }
    asio::error_code error;
    const std::size_t bytesWritten = m_socket.write_some(asio::buffer(bytes), error);
    if (error && error != asio::error::would_block) {
        // The pending read reports the end of the stream, so `write` never calls the handler. The
        // kernel reports a reset once: after a write that got it, a read finds a normal end.
        m_writeFailed = true;
        log(LogLevel::Debug, "socket", "a write failed: " + error.message());
        return;
    }
    m_output.append(bytes.substr(error ? 0 : bytesWritten));
    if (!m_output.empty())
        waitForOutput();
}

void ByteStream::waitForOutput()
{
    if (m_writePending)
        return;
    m_writePending = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                        [self = shared_from_this()](const asio::error_code &error) {
                            self->m_writePending = false;
                            if (!error)
                                self->flush();
                        });
}

void ByteStream::flush()
{
    const EventLoopTurns::Activity activity(m_turns, m_activity);
    asio::error_code error;
    const std::size_t bytesWritten = m_socket.write_some(asio::buffer(m_output), error);
    if (error == asio::error::would_block) {
        waitForOutput();
        return;
    }
    if (error) {
        m_output.clear();
        handleEnd(false);
        return;
    }
    m_output.erase(0, bytesWritten);
    if (m_closeAfterOutput)
        limitClosing(m_output.empty() ? lingerTimeout : stalledOutputTimeout);
    if (!m_output.empty()) {
        waitForOutput();
        return;
    }
    if (m_closeAfterOutput) {
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        return;
    }
    if (m_handler != nullptr)
        m_handler->outputDrained();
}

bool ByteStream::isBlockedByPeer()
{
    if (!isOpen())
        return false;
    const int handle = m_socket.native_handle();
    int unsentBytes = 0;
    if (::ioctl(handle, SIOCOUTQNSD, &unsentBytes) != 0 || unsentBytes == 0)
        return false;
    tcp_info info {};
    socklen_t size = sizeof(info);
    // Output that waits for acknowledgements fills the congestion window instead.
    return ::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
            && info.tcpi_unacked < info.tcpi_snd_cwnd;
}

bool ByteStream::hasUnreadInput() const
{
    asio::error_code error;
    return m_socket.available(error) > 0 && !error;
}

void ByteStream::close()
{
    m_handler = nullptr;
    finishClosing();
}

void ByteStream::reset()
{
    asio::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void ByteStream::finishClosing()
{
    if (m_lingerTimer)
        m_lingerTimer->cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
}

void ByteStream::closeAfterOutput()
{
    m_handler = nullptr;
    if (m_closeAfterOutput || !isOpen())
        return;
    m_closeAfterOutput = true;
    if (isBlockedByPeer())
        setSlowReader(true);
    asio::error_code ignored;
    if (m_output.empty())
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    limitClosing(m_output.empty() ? lingerTimeout : stalledOutputTimeout);
    resumeReading();
}

void ByteStream::limitClosing(Duration limit)
{
    m_lingerTimer = std::make_unique<asio::steady_timer>(m_socket.get_executor(), limit);
    m_lingerTimer->async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error)
            self->finishClosing();
    });
}

} // namespace Lavenderpick
