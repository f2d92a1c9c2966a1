#pragma once

#include "lavenderpick/Base/Clock.h"

#include <asio.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace Lavenderpick {

/// Receives what happens on a `ByteStream`.
class ByteStreamHandler
{
public:
    virtual ~ByteStreamHandler() = default;

    virtual void bytesArrived(std::string_view bytes) = 0;

    /// The peer closed its side (`inOrder`), or the connection broke. Called once.
    virtual void streamEnded(bool orderly) = 0;

    /// All output was handed to the kernel after some of it had to wait.
    virtual void outputDrained() { }
};

/// A connected TCP socket on the event loop.
///
/// All streams read into one buffer of the process, so that an idle connection holds none. Writes
/// are tried at once and wait only for what the kernel does not take.
class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
    explicit ByteStream(asio::ip::tcp::socket socket);

    /// Sets no-delay, keep-alive probes and the time after which unacknowledged data breaks the
    /// connection, so that a peer that fell silent is noticed.
    void configureSocket();

    void setHandler(ByteStreamHandler *handler) { m_handler = handler; }
    void startReading();
    void pauseReading() { m_paused = true; }
    void resumeReading();

    void write(std::string_view bytes);
    std::size_t pendingOutput() const { return m_output.size(); }

    /// Closes now; the handler hears nothing more.
    void close();

    /// Closes now with a reset, so that the peer can't take what it got for whole.
    void reset();

    /// Closes once all output was taken by the peer's kernel or `lingerTimeout` has passed; input
    /// is dropped. Closing with unread input would reset the connection and lose the output.
    void closeAfterOutput();

    bool isOpen() const { return m_socket.is_open(); }
    asio::ip::tcp::socket &socket() { return m_socket; }

private:
    void waitForInput();
    void readInput();
    void flush();
    void waitForOutput();
    void handleEnd(bool orderly);
    void finishClosing();

    asio::ip::tcp::socket m_socket;
    ByteStreamHandler *m_handler { nullptr };
    std::string m_output;
    bool m_readPending { false };
    bool m_paused { false };
    bool m_writePending { false };
    bool m_closeAfterOutput { false };
    std::unique_ptr<asio::steady_timer> m_lingerTimer;
};

/// Parses `host:port`. Throws `Error` of kind InvalidMessage.
asio::ip::tcp::endpoint parseEndpoint(const std::string &address);

} // namespace Lavenderpick
