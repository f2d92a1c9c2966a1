#include "lavenderpick/Runtime/DatagramSocket.h"

#include "EventLoopState.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"

#include <array>
#include <charconv>
#include <optional>

namespace Lavenderpick {

namespace {

// Larger than any datagram between our processes; a longer one is cut off and then fails
// authentication.
constexpr std::size_t receiveBufferBytes = 2048;

std::optional<asio::ip::udp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    asio::error_code error;
    const asio::ip::address host = asio::ip::make_address(address.substr(0, colon), error);
    unsigned short port = 0;
    const char *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return asio::ip::udp::endpoint(host, port);
}

std::string toText(const asio::ip::udp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

struct DatagramSocket::State : std::enable_shared_from_this<DatagramSocket::State>
{
    State(std::shared_ptr<EventLoop::State> loopState, Receiver receiverToCall)
        : loop(std::move(loopState))
        , socket(loop->context)
        , receiver(std::move(receiverToCall))
    { }

    void receiveNext();
    void deliver(std::size_t size);

    std::shared_ptr<EventLoop::State> loop;
    std::mutex mutex;
    asio::ip::udp::socket socket;
    Receiver receiver;
    std::array<char, receiveBufferBytes> buffer {};
    asio::ip::udp::endpoint sender;
    bool closed { false };
};

void DatagramSocket::State::receiveNext()
{
    const std::lock_guard lock(mutex);
    if (closed)
        return;
    socket.async_receive_from(
            asio::buffer(buffer), sender,
            [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                if (error == asio::error::operation_aborted)
                    return;
                // A peer that is gone makes the kernel report an error here; later datagrams from
                // others still arrive.
                if (!error)
                    self->deliver(size);
                self->receiveNext();
            });
}

void DatagramSocket::State::deliver(std::size_t size)
{
    try {
        receiver(std::string(buffer.data(), size), toText(sender));
    } catch (const std::exception &error) {
        log(LogLevel::Debug, "datagram", error.what());
    }
}

DatagramSocket::DatagramSocket(EventLoop &loop, const std::string &host, int port,
                               Receiver receiver)
    : m_state(std::make_shared<State>(loop.state(), std::move(receiver)))
{
    asio::error_code error;
    const asio::ip::address address = asio::ip::make_address(host, error);
    if (!error) {
        const asio::ip::udp::endpoint endpoint(address, static_cast<unsigned short>(port));
        m_state->socket.open(endpoint.protocol(), error);
        if (!error)
            m_state->socket.bind(endpoint, error);
    }
    if (error)
        throw Error(ErrorKind::InvalidSettings,
                    "Can't bind datagram address " + host + ":" + std::to_string(port),
                    "Choose a free port on an IP number of this VM.");
    m_state->socket.non_blocking(true);
    m_state->receiveNext();
}

DatagramSocket::~DatagramSocket()
{
    const std::lock_guard lock(m_state->mutex);
    m_state->closed = true;
    asio::error_code ignored;
    m_state->socket.close(ignored);
}

int DatagramSocket::port() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->socket.local_endpoint().port();
}

bool DatagramSocket::send(const std::string &address, const std::string &bytes)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return false;
    const std::lock_guard lock(m_state->mutex);
    asio::error_code error;
    m_state->socket.send_to(asio::buffer(bytes), *endpoint, 0, error);
    return !error;
}

} // namespace Lavenderpick
