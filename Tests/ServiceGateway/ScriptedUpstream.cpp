#include "ScriptedUpstream.h"

namespace Lavenderpick {

class ScriptedUpstream::Connection : public std::enable_shared_from_this<Connection>,
                                     public ScriptedConnection,
                                     private ByteStreamHandler,
                                     private MessageListener
{
public:
    Connection(ScriptedUpstream &owner, asio::ip::tcp::socket socket)
        : m_owner(owner)
        , m_stream(std::make_shared<ByteStream>(std::move(socket), "test"))
        , m_parser(HttpParser::MessageType::Request, *this)
    { }
    ~Connection() override { m_stream->close(); }

    void start()
    {
        m_stream->setHandler(this);
        m_stream->configureSocket();
        m_stream->startReading();
    }

    void write(const std::string &bytes) override { m_stream->write(bytes); }
    void close() override
    {
        m_open = false;
        m_stream->close();
    }
    void closeAfterOutput() override
    {
        m_open = false;
        m_stream->closeAfterOutput();
    }
    void reset() override
    {
        m_open = false;
        m_stream->reset();
    }
    bool isOpen() const override { return m_open; }

private:
    void bytesArrived(std::string_view bytes) override
    {
        const auto self = shared_from_this();
        while (!bytes.empty() && m_open) {
            bytes.remove_prefix(m_parser.feed(bytes));
            if (m_parser.state() != HttpParser::State::Complete)
                continue;
            m_owner.m_received.push_back({ .head = m_parser.request(), .body = m_body });
            m_body.clear();
            m_parser.reset();
            m_owner.m_script(m_owner.m_received.back(), shared_from_this());
        }
    }
    void streamEnded(bool) override { close(); }
    void headParsed() override { }
    void bodyParsed(std::string_view bytes) override { m_body.append(bytes); }
    void messageParsed() override { }

    ScriptedUpstream &m_owner;
    std::shared_ptr<ByteStream> m_stream;
    HttpParser m_parser;
    std::string m_body;
    bool m_open { true };
};

ScriptedUpstream::ScriptedUpstream(asio::io_context &context, Script script)
    : m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_script(std::move(script))
{
    accept();
}

ScriptedUpstream::~ScriptedUpstream()
{
    for (const auto &connection : m_acceptedConnections)
        connection->close();
}

std::string ScriptedUpstream::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void ScriptedUpstream::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        ++m_connectionCount;
        m_acceptedConnections.push_back(std::make_shared<Connection>(*this, std::move(socket)));
        m_acceptedConnections.back()->start();
        accept();
    });
}

} // namespace Lavenderpick
