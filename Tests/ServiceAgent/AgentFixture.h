#pragma once

#include "EngineOutput.h"
#include "EngineServer.h"
#include "Fakes/FakeObjectStore.h"
#include "Fakes/FakeTable.h"
#include "Fakes/SampleDocument.h"
#include "Services/Agent/Agent.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Http/ServerSentEvents.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <iostream>
#include <thread>

namespace Lavenderpick {

inline const std::string testClusterKey = "a cluster key for tests";

inline bool eventually(const std::function<bool()> &condition, Duration limit = Seconds(10))
{
    const TimePoint end = SteadyClock::now() + limit;
    while (!condition()) {
        if (SteadyClock::now() > end)
            return false;
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return true;
}

/// Plays the entry: subscribes to agents, serves the document and sends messages.
class TestEntry
{
public:
    TestEntry()
        : m_loop(m_clock, m_random, 1)
        , m_socket(m_loop, "127.0.0.1", 0, [this](const std::string &bytes, const std::string &) {
            const Datagram datagram = decodeDatagram(bytes, testClusterKey);
            const std::lock_guard lock(m_mutex);
            m_report = std::get<LoadReport>(datagram);
        })
    {
        publish("models", "lavender-1", sampleModel());
        m_server.routes().Get("/internal/document",
                              [this](const httplib::Request &request, httplib::Response &response) {
                                  const auto since = std::stoll(request.get_param_value("since"));
                                  answerJson(response, 200,
                                             m_replica.toMessage(since, DocumentView::WithoutKeys));
                              });
        m_port = m_server.start("127.0.0.1", 0);
        m_thread = std::thread([this] { m_loop.run(); });
    }

    ~TestEntry()
    {
        m_loop.stop();
        m_thread.join();
    }

    void publish(const std::string &section, const std::string &name, const nlohmann::json &value)
    {
        m_replica.offerChanges({ { .version = m_replica.version() + 1,
                                   .section = section,
                                   .entries = { { name, value } },
                                   .token = "t" } },
                               DocumentSource::Store);
    }

    void subscribe(const Agent &agent)
    {
        const Subscribe message { .entry = "entry-1",
                                  .address = "127.0.0.1:" + std::to_string(m_port),
                                  .documentVersion = m_replica.version() };
        m_socket.send("127.0.0.1:" + std::to_string(agent.datagramPort()),
                      encodeDatagram(message, testClusterKey));
    }

    LoadReport report() const
    {
        const std::lock_guard lock(m_mutex);
        return m_report;
    }

    HttpHeaders headers(const std::string &method, const std::string &path,
                        const std::string &body) const
    {
        return { { authenticationHeader, m_authenticator.sign(method, path, body) },
                 { documentVersionHeader, std::to_string(m_replica.version()) } };
    }

    HttpResponse send(int port, const std::string &method, const std::string &path,
                      const nlohmann::json &json = {}, Duration timeout = Seconds(20))
    {
        const std::string body = json.is_null() ? "" : json.dump();
        HttpClient client("127.0.0.1:" + std::to_string(port), m_clock);
        return client.send({ .method = method,
                             .path = path,
                             .body = body,
                             .headers = headers(method, path, body),
                             .timeout = timeout });
    }

    /// Reads events until the last one, or until `receiver` returns false.
    using EventReceiver = std::function<bool(const AttemptEvent &)>;
    HttpResponse stream(int port, const std::string &method, const std::string &path,
                        const nlohmann::json &json, const EventReceiver &receiver)
    {
        const std::string body = json.is_null() ? "" : json.dump();
        HttpClient client("127.0.0.1:" + std::to_string(port), m_clock);
        ServerSentEventParser parser;
        HttpResponse response = client.stream(
                { .method = method,
                  .path = path,
                  .body = body,
                  .headers = headers(method, path, body),
                  .timeout = Seconds(3) },
                [&](std::string_view piece) {
                    return parser.feed(piece, [&](std::string_view data) {
                        return receiver(AttemptEvent::parse(parseJson(data, "event")));
                    });
                });
        if (response.status != 200)
            std::cerr << method << " " << path << ": " << response.status << " " << response.body
                      << "\n";
        return response;
    }

private:
    SystemClock m_clock;
    SystemRandom m_random;
    MessageAuthenticator m_authenticator { testClusterKey, m_clock };
    DocumentReplica m_replica { m_clock };
    mutable std::mutex m_mutex;
    LoadReport m_report;
    Metrics m_metrics;
    EventLoop m_loop;
    DatagramSocket m_socket;
    HttpServer m_server { { .threads = 16 }, m_metrics };
    int m_port { 0 };
    std::thread m_thread;
};

/// An agent on its own thread, within this process.
class RunningAgent
{
public:
    RunningAgent(const AgentSettings &settings, Table &table, ObjectStore &objects,
                 TestEntry &entry)
        : agent(settings,
                { .clock = m_clock, .random = m_random, .table = table, .objects = objects })
        , m_thread([this] { agent.run(); })
    {
        entry.subscribe(agent);
        BOOST_REQUIRE(eventually([&] { return agent.status().at("accepting").get<bool>(); }));
    }

    ~RunningAgent()
    {
        agent.stop();
        join();
    }

    void join()
    {
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    SystemClock m_clock;
    SystemRandom m_random;

public:
    Agent agent;

private:
    std::thread m_thread;
};

inline AgentSettings testSettings(int upstreamPort, const std::string &upstream = "engine-1")
{
    AgentSettings settings {
        .name = "agent-of-" + upstream,
        .host = "127.0.0.1",
        .region = "sicily",
        .availabilityZone = "enna-1",
        .clusterKey = testClusterKey,
        .platformAddress = "127.0.0.1:1",
        .upstream = { .name = upstream,
                      .kind = UpstreamKind::Engine,
                      .address = "127.0.0.1:" + std::to_string(upstreamPort),
                      .checksFencing = true },
    };
    settings.caps.abandonAfter = Milliseconds(500);
    settings.inventoryPeriod = Milliseconds(300);
    settings.loadPeriod = Milliseconds(100);
    return settings;
}

inline AttemptRequest testAttempt(const std::string &id, const std::string &prompt,
                                  std::int64_t tokens)
{
    return { .requestId = "r-" + id,
             .attemptId = id,
             .customer = "enna",
             .model = "lavender-1",
             .priority = "interactive",
             .prompt = prompt,
             .maximumTokens = tokens,
             .deadlineMilliseconds = 20'000 };
}

/// One engine stand-in, one agent and one entry.
struct AgentFixture
{
    explicit AgentFixture(const StandIns::EngineOptions &options = fastEngine())
        : engine(std::make_unique<StandIns::EngineServer>(options))
        , enginePort(engine->start(0))
    {
        running = std::make_unique<RunningAgent>(testSettings(enginePort), table, objects, entry);
    }

    static StandIns::EngineOptions fastEngine()
    {
        return { .stepMilliseconds = 5, .loadLagMilliseconds = 20, .orderMilliseconds = 20 };
    }

    int port() const { return running->agent.port(); }
    std::int64_t engineMemory() const { return engine->simulation().load().at("kv_used"); }
    nlohmann::json status() const { return running->agent.status(); }

    /// Whether neither engine nor agent holds anything.
    bool becomesEmpty()
    {
        return eventually([this] {
            return engineMemory() == 0 && status().at("kv_used") == 0
                    && engine->simulation().inventory().at("streams").empty();
        });
    }

    FakeTable table;
    FakeObjectStore objects;
    TestEntry entry;
    std::unique_ptr<StandIns::EngineServer> engine;
    int enginePort;
    std::unique_ptr<RunningAgent> running;
};

} // namespace Lavenderpick
