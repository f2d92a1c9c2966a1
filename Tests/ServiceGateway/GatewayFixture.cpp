#include "GatewayFixture.h"

#include <array>
#include <charconv>

namespace Lavenderpick {

namespace {

GatewaySettings makeSettings(QueueOrder order)
{
    return { .name = "gateway-1", .availabilityZone = "a", .queueOrder = order };
}

} // namespace

std::optional<GenerationSize> TestDialect::generationSize(const HeaderList &headers) const
{
    const std::string *tokens = headers.find("Tokens");
    if (tokens == nullptr)
        return std::nullopt;
    GenerationSize size { .maximumOutputTokens = 100 };
    std::from_chars(tokens->data(), tokens->data() + tokens->size(), size.promptTokens);
    return size;
}

std::vector<std::string> TestDialect::sharedPromptParts(const HeaderList &headers) const
{
    std::vector<std::string> parts;
    for (const HeaderField &field : headers.fields()) {
        if (equalHeaderNames(field.name, "Part"))
            parts.push_back(field.value);
    }
    return parts;
}

std::vector<PromptPart> TestDialect::promptParts(const HeaderList &headers) const
{
    std::vector<PromptPart> parts;
    for (const std::string &id : sharedPromptParts(headers))
        parts.push_back({ .id = id, .tokens = 8'192 });
    return parts;
}

std::optional<double> TestDialect::rateLimit(const ResponseHead &response) const
{
    const std::string *limit = response.headers.find("Rate-Limit");
    return limit == nullptr ? std::nullopt : std::optional<double>(std::stod(*limit));
}

std::optional<Duration> TestDialect::pause(const ResponseHead &response) const
{
    const std::string *pauseMs = response.headers.find("Pause-Ms");
    return pauseMs == nullptr ? std::nullopt
                              : std::optional<Duration>(Milliseconds(std::stoll(*pauseMs)));
}

std::string TestDialect::formatHelpers(const std::vector<PrefillHelper> &helpers) const
{
    std::string list;
    for (const PrefillHelper &helper : helpers)
        list += helper.address + "/" + helper.reservation + ";";
    return list;
}

EngineCall TestDialect::reserveMemory(const std::string &reservation, std::int64_t tokens,
                                      Duration hold) const
{
    return { .method = "POST",
             .target = "/reserve/" + reservation,
             .body = std::to_string(tokens) + " " + std::to_string(toMilliseconds(hold)) };
}

EngineCall TestDialect::releaseMemory(const std::string &reservation) const
{
    return { .method = "POST", .target = "/release/" + reservation, .body = "0" };
}

GatewayFixture::GatewayFixture(QueueOrder order)
    : state(context, clock, random, dialect, makeSettings(order))
    , m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
{
    state.configuration = std::make_shared<const ServingConfiguration>(makeConfiguration());
    accept();
}

GatewayFixture::~GatewayFixture()
{
    for (const auto &caller : m_callerConnections)
        caller->abandon();
    runUntil([this] { return state.openRequests == 0; });
    m_inboundConnections.clear();
}

ServingConfigurationParts GatewayFixture::makeConfiguration()
{
    const Route base { .host = "h",
                       .timeout = Seconds(2),
                       .objective = Milliseconds(100),
                       .maximumUpstreams = 2,
                       .targets = { { .service = "calls" } } };
    Route safe = base;
    safe.name = "safe";
    safe.prefix = "/safe/";
    safe.kind = RouteKind::Safe;
    Route once = base;
    once.name = "once";
    once.prefix = "/once/";
    once.kind = RouteKind::Unsafe;
    Route stream = base;
    stream.name = "stream";
    stream.prefix = "/stream/";
    stream.kind = RouteKind::Streaming;
    stream.resumable = true;
    stream.gapObjective = Milliseconds(250);
    stream.targets = { { .service = "engines" } };
    Route fixedStream = stream;
    fixedStream.name = "fixed-stream";
    fixedStream.prefix = "/fixed-stream/";
    fixedStream.resumable = false;
    return { .version = 1,
             .routes = { safe, once, stream, fixedStream },
             .services = { { .name = "calls" },
                           { .name = "engines",
                             .engine = EngineParameters { .maximumBatchSize = 4,
                                                          .kvCapacityTokens = 10'000,
                                                          .tokensPerPass = 10,
                                                          .prefillChunkTokens = 1'000,
                                                          .prefillTokensPerMs = 100 } } },
             .customers = std::vector<Customer> { { .name = "customer-1", .keys = { "k" } } },
             .limits = { .headBytes = 2'000, .bodyBytes = 100'000 } };
}

std::string GatewayFixture::makeResponse(const std::string &id, const std::string &body, int status,
                                         const std::string &extraHeaders)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + id + "\r\n" + extraHeaders
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void GatewayFixture::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        m_inboundConnections.push_back(
                std::make_shared<InboundConnection>(state, std::move(socket)));
        m_inboundConnections.back()->start();
        accept();
    });
}

ScriptedUpstream &GatewayFixture::addUpstream(const std::string &id,
                                              ScriptedUpstream::Script script,
                                              const std::string &service)
{
    m_upstreams.push_back(std::make_unique<ScriptedUpstream>(context, std::move(script)));
    state.upstreams.put({ .id = id,
                          .service = service,
                          .address = m_upstreams.back()->address(),
                          .availabilityZone = "a",
                          .capacity = 4 });
    state.outliers.setKnownUpstreams(state.upstreams.size());
    return *m_upstreams.back();
}

std::shared_ptr<CallerResponse> GatewayFixture::send(const std::string &path, const std::string &id,
                                                     const std::string &extraHeaders,
                                                     const std::string &body)
{
    const std::string address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    auto response = std::make_shared<CallerResponse>();
    m_callerConnections.push_back(std::make_shared<HttpConnection>(context, clock, address));
    std::string head = (body.empty() ? "GET " : "POST ") + path
            + " HTTP/1.1\r\nHost: h\r\nKey: k\r\n" + "Request-Id: " + id + "\r\n" + extraHeaders;
    if (!body.empty())
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    m_callerConnections.back()->send(head + "\r\n", std::make_shared<const std::string>(body),
                                     false, *response);
    return response;
}

std::shared_ptr<CallerResponse> GatewayFixture::sendAndWait(const std::string &path,
                                                            const std::string &id,
                                                            const std::string &extraHeaders,
                                                            const std::string &body)
{
    auto response = send(path, id, extraHeaders, body);
    runUntil([&] { return response->isDone(); });
    return response;
}

std::unique_ptr<asio::ip::tcp::socket> GatewayFixture::connect()
{
    auto socket = std::make_unique<asio::ip::tcp::socket>(context);
    socket->connect(m_acceptor.local_endpoint());
    socket->non_blocking(true);
    return socket;
}

std::string GatewayFixture::receive(asio::ip::tcp::socket &socket)
{
    std::string received;
    runUntil([&] {
        std::array<char, 4'096> buffer {};
        asio::error_code error;
        const std::size_t size = socket.read_some(asio::buffer(buffer), error);
        received.append(buffer.data(), size);
        const std::size_t end = received.find("\r\n\r\n");
        return (error && error != asio::error::would_block)
                || (end != std::string::npos && received.find('}', end) != std::string::npos);
    });
    return received;
}

std::string GatewayFixture::sendRaw(const std::string &bytes)
{
    const auto socket = connect();
    asio::write(*socket, asio::buffer(bytes));
    return receive(*socket);
}

bool GatewayFixture::runUntil(const std::function<bool()> &condition,
                              std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        context.restart();
        context.run_for(std::chrono::milliseconds(2));
    }
    return true;
}

void GatewayFixture::advance(Duration duration)
{
    clock.advance(duration);
    const TimePoint now = clock.now();
    for (const auto &connection : m_inboundConnections)
        connection->checkTimeouts(now);
    state.engineCalls.checkTimeouts(now);
    state.quarantine.update(now);
    context.restart();
    context.run_for(std::chrono::milliseconds(5));
}

} // namespace Lavenderpick
