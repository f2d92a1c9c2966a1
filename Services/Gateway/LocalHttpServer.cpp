#include "Services/Gateway/LocalHttpServer.h"

#include "Services/Gateway/Endpoint.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"

namespace Lavenderpick {

asio::ip::tcp::acceptor listenOn(asio::io_context &context, const std::string &address)
{
    // Bursts of callers may connect within one iteration of the event loop.
    constexpr int backlog = 1'024;
    try {
        const asio::ip::tcp::endpoint endpoint = parseEndpoint(address);
        asio::ip::tcp::acceptor acceptor(context, endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(backlog);
        return acceptor;
    } catch (const std::exception &error) {
        throw Error(ErrorKind::InvalidSettings, "Can't listen on " + address + ": " + error.what(),
                    "Choose an address of this VM and a port that is free.");
    }
}

class LocalHttpServer::Connection : public std::enable_shared_from_this<Connection>,
                                    private ByteStreamHandler,
                                    private MessageListener
{
public:
    Connection(LocalHttpServer &server, asio::ip::tcp::socket socket)
        : m_server(server)
        , m_stream(std::make_shared<ByteStream>(std::move(socket), "local_server"))
        , m_parser(HttpParser::MessageType::Request, *this)
    { }

    ~Connection() override { m_stream->close(); }

    void start()
    {
        m_stream->setHandler(this);
        m_stream->configureSocket();
        m_stream->startReading();
    }

private:
    void bytesArrived(std::string_view bytes) override
    {
        const auto self = shared_from_this();
        while (!bytes.empty()) {
            bytes.remove_prefix(m_parser.feed(bytes));
            if (m_parser.state() == HttpParser::State::Failed) {
                remove();
                return;
            }
            if (m_parser.state() == HttpParser::State::Complete)
                sendResponse();
        }
    }

    void sendResponse()
    {
        const LocalResponse response = m_server.m_handler(m_parser.request().target);
        std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " "
                + std::string(reasonPhrase(response.status)) + "\r\n";
        appendField("Content-Type", response.contentType, bytes);
        appendFraming(BodyFraming::Length, response.body.size(), bytes);
        bytes += "\r\n" + response.body;
        m_stream->write(bytes);
        m_parser.reset();
    }

    void streamEnded(bool) override
    {
        const auto self = shared_from_this();
        remove();
    }

    void remove()
    {
        m_stream->close();
        m_server.m_connections.erase(shared_from_this());
    }

    void headParsed() override { }
    void bodyParsed(std::string_view) override { }
    void messageParsed() override { }

    LocalHttpServer &m_server;
    std::shared_ptr<ByteStream> m_stream;
    HttpParser m_parser;
};

LocalHttpServer::LocalHttpServer(asio::io_context &context, const std::string &address,
                                 Handler handler)
    : m_acceptor(listenOn(context, address))
    , m_handler(std::move(handler))
{
    accept();
}

LocalHttpServer::~LocalHttpServer() = default;

void LocalHttpServer::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            log(LogLevel::Warning, "server", "accepting failed: " + error.message());
        } else {
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            m_connections.insert(connection);
            connection->start();
        }
        accept();
    });
}

} // namespace Lavenderpick
