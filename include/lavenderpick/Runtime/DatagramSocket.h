#pragma once

#include "lavenderpick/Runtime/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace Lavenderpick {

/// A bound UDP socket on an `EventLoop`.
class DatagramSocket
{
public:
    /// Called on the loop with the bytes and the sender's `host:port`.
    using Receiver = std::function<void(const std::string &bytes, const std::string &sender)>;

    /// Binds `host`, an IP number, and `port` (0 picks one). Throws `Error` of kind InvalidSettings
    /// when the address can't be bound.
    DatagramSocket(EventLoop &loop, const std::string &host, int port, Receiver receiver);
    ~DatagramSocket();

    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    int port() const;

    /// Sends one datagram without waiting; returns false when the address is invalid or the kernel
    /// did not take it. May be called from any thread.
    bool send(const std::string &address, const std::string &bytes);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderpick
