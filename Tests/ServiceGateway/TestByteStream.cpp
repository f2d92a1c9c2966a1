#include "Services/Gateway/ByteStream.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

struct RecordingHandler : ByteStreamHandler
{
    std::string received;
    bool ended { false };
    bool endedOrderly { false };

    void bytesArrived(std::string_view bytes) override { received.append(bytes); }
    void streamEnded(bool orderly) override
    {
        ended = true;
        endedOrderly = orderly;
    }
};

struct Fixture
{
    explicit Fixture(int receiveBufferBytes = 0)
    {
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        if (receiveBufferBytes > 0)
            acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        asio::ip::tcp::socket socket(context);
        socket.connect(acceptor.local_endpoint());
        peer = acceptor.accept();
        stream = std::make_shared<ByteStream>(std::move(socket), "test");
        stream->setHandler(&handler);
        stream->configureSocket();
    }
    ~Fixture() { stream->close(); }

    void runUntilEnd()
    {
        stream->startReading();
        for (int count = 0; count < 1'000 && !handler.ended; ++count) {
            context.restart();
            context.run_for(std::chrono::milliseconds(2));
        }
    }

    asio::io_context context;
    asio::ip::tcp::socket peer { context };
    RecordingHandler handler;
    std::shared_ptr<ByteStream> stream;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ByteStreamTests, Fixture)

BOOST_AUTO_TEST_CASE(closedStreamEndsOrderly)
{
    asio::write(peer, asio::buffer(std::string("whole")));
    peer.close();
    runUntilEnd();
    BOOST_CHECK(handler.ended);
    BOOST_CHECK(handler.endedOrderly);
    BOOST_CHECK_EQUAL(handler.received, "whole");
}

// Guards against a peer with a small window that is reset as a dead one while it pauses.
BOOST_AUTO_TEST_CASE(outputThatAPeerDoesNotTakeIsBlocked)
{
    Fixture small(1'024);
    BOOST_CHECK(!small.stream->isBlockedByPeer());
    small.stream->write(std::string(100, 'x'));
    BOOST_CHECK(!small.stream->isBlockedByPeer());
    small.stream->write(std::string(10'000, 'x'));
    BOOST_CHECK(small.stream->isBlockedByPeer());
    stream->write(std::string(10'000, 'x'));
    BOOST_CHECK(!stream->isBlockedByPeer());
}

// Guards against a reset that a write learns of first, during a long upload: the next read then
// finds a normal end, and part of a response without a length counted as the whole.
BOOST_AUTO_TEST_CASE(resetThatAWriteLearnsOfIsNoOrderlyEnd)
{
    asio::write(peer, asio::buffer(std::string("part")));
    peer.set_option(asio::socket_base::linger(true, 0));
    peer.close();
    // The reset needs no time on loopback, but it is seen only when the kernel has delivered it.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    stream->write(std::string(100'000, 'x'));
    runUntilEnd();
    BOOST_CHECK(handler.ended);
    BOOST_CHECK(!handler.endedOrderly);
}

BOOST_AUTO_TEST_SUITE_END()
