#pragma once

#include "Services/Gateway/EventLoopTurns.h"
#include "lavenderpick/Base/Clock.h"

#include <asio.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace Lavenderpick {

/// Receives the events of a `ByteStream`.
class ByteStreamHandler
{
public:
    virtual ~ByteStreamHandler() = default;

    virtual void bytesArrived(std::string_view bytes) = 0;

    /// The peer closed its sending side (`orderly`), or the connection failed. Called once. A
    /// connection on which a write failed never ends orderly.
    virtual void streamEnded(bool orderly) = 0;

    /// All buffered output was handed to the kernel. Not called when no output was buffered.
    virtual void outputDrained() { }
};

/// A non-blocking TCP socket on the event loop.
///
/// All streams read into one buffer per process, so an idle connection holds no read buffer. A
/// write goes to the kernel immediately; bytes the kernel does not accept are buffered.
class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
    /// Slow turns of the event loop are reported by `activity`, a literal.
    ByteStream(asio::ip::tcp::socket socket, std::string_view activity);

    /// Sets TCP_NODELAY, keep-alive probes and the timeout for unacknowledged data, so that a peer
    /// that stops responding is detected.
    void configureSocket();

    /// Whether the peer may stop reading for a while. The kernel's timeout for unacknowledged data
    /// counts the time of a closed window too, so a dead peer is then detected later.
    void setSlowReader(bool slow);

    void setHandler(ByteStreamHandler *handler) { m_handler = handler; }
    void startReading();
    void pauseReading() { m_paused = true; }
    void resumeReading();

    void write(std::string_view bytes);
    std::size_t pendingOutput() const { return m_output.size(); }

    /// Closes immediately. The handler is not called again.
    void close();

    /// Closes immediately with a TCP reset, so that the peer can't mistake the data received so far
    /// for a complete message.
    void reset();

    /// Sends the buffered output, shuts down the sending side and closes when the peer closes or
    /// after a while; also if the peer reads nothing for `stalledOutputTimeout`. Input is read and
    /// discarded: closing with unread input would reset the connection and lose the output.
    void closeAfterOutput();

    /// Whether output waits for the peer to read.
    bool hasPendingOutput() const { return isOpen() && !m_output.empty(); }

    /// Whether the kernel holds output back because the peer's receive window is full.
    bool isBlockedByPeer();

    /// Whether bytes have arrived that were not read yet.
    bool hasUnreadInput() const;

    bool isOpen() const { return m_socket.is_open(); }
    asio::ip::tcp::socket &socket() { return m_socket; }

private:
    void waitForInput();
    void readInput();
    void flush();
    void waitForOutput();
    void handleEnd(bool orderly);
    void limitClosing(Duration limit);
    void finishClosing();

    asio::ip::tcp::socket m_socket;
    EventLoopTurns &m_turns;
    std::string_view m_activity;
    ByteStreamHandler *m_handler { nullptr };
    std::string m_output;
    bool m_readPending { false };
    bool m_paused { false };
    bool m_writePending { false };
    bool m_closeAfterOutput { false };
    bool m_writeFailed { false };
    std::unique_ptr<asio::steady_timer> m_lingerTimer;
};

} // namespace Lavenderpick
