#include "Tests/ServiceGateway/ScriptedUpstream.h"
#include "platform/StoreSource.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Lavenderpick;

namespace {

using Peer = std::shared_ptr<ScriptedConnection>;

/// Records the calls of the source.
struct RecordingObserver : ControlPlaneObserver
{
    std::vector<std::int64_t> revisions;
    std::vector<std::string> listed;
    std::vector<UpstreamChange> changes;
    std::vector<std::string> members;
    int lost { 0 };
    int regained { 0 };

    void configurationRead(const ConfigurationSnapshot &snapshot) override
    {
        revisions.push_back(snapshot.revision);
    }
    void upstreamsListed(const std::vector<UpstreamRecord> &records) override
    {
        listed.clear();
        for (const UpstreamRecord &record : records)
            listed.push_back(record.id);
    }
    void upstreamChanged(const UpstreamChange &change) override { changes.push_back(change); }
    void membersListed(const std::vector<std::string> &addresses) override { members = addresses; }
    void storeLost(const std::string &) override { ++lost; }
    void storeRegained() override { ++regained; }
};

/// An in-memory store on loopback. It leaves a long poll open until a row of the table changes.
class FakeStore
{
public:
    explicit FakeStore(asio::io_context &context)
        : m_server(context, [this](const ReceivedRequest &request, const Peer &peer) {
            handleRequest(request, peer);
        })
    { }

    std::string address() const { return m_server.address(); }

    void put(const std::string &table, const std::string &key, const std::string &base64Value)
    {
        const nlohmann::json row { { "table", table },
                                   { "part", "" },
                                   { "key", key },
                                   { "value", base64Value },
                                   { "revision", ++revision } };
        m_rows[table][key] = row;
        completePoll(table, row);
    }

    void remove(const std::string &table, const std::string &key)
    {
        m_rows[table].erase(key);
        completePoll(table,
                     { { "table", table },
                       { "key", key },
                       { "removed", true },
                       { "revision", ++revision } });
    }

    void setStatus(int status) { m_status = status; }
    void dropHistory() { m_historyGone = true; }
    void setSilent(bool silent) { m_silent = silent; }

    std::int64_t revision { 10 };
    int writes { 0 };
    int polls { 0 };

private:
    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t start = target.find(name + "=");
        if (start == std::string::npos)
            return {};
        const std::size_t value = start + name.size() + 1;
        return target.substr(value, target.find('&', value) - value);
    }

    void respond(const Peer &peer, int status, const nlohmann::json &body)
    {
        const std::string text = body.dump();
        peer->write("HTTP/1.1 " + std::to_string(status)
                    + " X\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
    }

    nlohmann::json rowsResponse(const nlohmann::json &records) const
    {
        return { { "records", records }, { "hasMore", false }, { "revision", revision } };
    }

    void handleRequest(const ReceivedRequest &request, const Peer &peer)
    {
        const std::string &target = request.head.target;
        if (m_silent)
            return;
        if (m_status != 200) {
            respond(peer, m_status, nlohmann::json::object());
            return;
        }
        const std::string table = parameter(target, "table");
        if (target.starts_with("/rows-tx")) {
            ++writes;
            respond(peer, 200, { { "revision", ++revision } });
        } else if (target.starts_with("/rows-get")) {
            nlohmann::json records = nlohmann::json::array();
            for (const auto &[key, row] : m_rows[table])
                records.push_back(row);
            respond(peer, 200, rowsResponse(records));
        } else if (m_historyGone) {
            m_historyGone = false;
            respond(peer, 410, nlohmann::json::object());
        } else if (parameter(target, "waitMs") == "0") {
            respond(peer, 200, rowsResponse(nlohmann::json::array()));
        } else {
            ++polls;
            m_polls[table] = peer;
        }
    }

    void completePoll(const std::string &table, const nlohmann::json &row)
    {
        const auto poll = m_polls.find(table);
        if (poll == m_polls.end())
            return;
        const Peer peer = poll->second;
        m_polls.erase(poll);
        respond(peer, 200, rowsResponse(nlohmann::json::array({ row })));
    }

    std::map<std::string, std::map<std::string, nlohmann::json>> m_rows;
    std::map<std::string, Peer> m_polls;
    int m_status { 200 };
    bool m_historyGone { false };
    bool m_silent { false };
    ScriptedUpstream m_server;
};

// {"version":1,"routes":[],"services":[]}
constexpr const char *configurationBase64 = "eyJ2ZXJzaW9uIjoxLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119";
// {"service":"s","address":"10.0.0.1:80","zone":"a","capacity":4,"state":"ready"}
constexpr const char *readyUpstreamBase64 =
        "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInpvbmUiOiJhIiwi"
        "Y2FwYWNpdHkiOjQsInN0YXRlIj"
        "oicmVhZHkifQ==";

struct Fixture
{
    asio::io_context context;
    ManualClock clock;
    FakeStore store { context };
    Platform::StoreSource source { context, clock, store.address() };
    RecordingObserver observer;

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            context.restart();
            context.run_for(std::chrono::milliseconds(2));
        }
        return condition();
    }

    void start()
    {
        store.put("op", "config", configurationBase64);
        store.put("servers", "i-1", readyUpstreamBase64);
        source.start(observer, "10.0.0.5:7340");
        BOOST_REQUIRE(runUntil([&] { return store.polls >= 3; }));
    }

    void advance(Duration duration)
    {
        clock.advance(duration);
        source.checkTimeouts(clock.now());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreSourceTests, Fixture)

BOOST_AUTO_TEST_CASE(listsThenFollowsChanges)
{
    start();
    BOOST_CHECK_EQUAL(observer.revisions.size(), 1);
    BOOST_CHECK(observer.listed == std::vector<std::string> { "i-1" });
    BOOST_CHECK_EQUAL(store.writes, 1);
    store.put("op", "config", configurationBase64);
    store.put("servers", "i-2", readyUpstreamBase64);
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 1; }));
    BOOST_CHECK(runUntil([&] { return observer.revisions.size() == 2; }));
    BOOST_CHECK_EQUAL(observer.changes.front().id, "i-2");
    BOOST_REQUIRE(runUntil([&] { return store.polls >= 5; }));
    store.remove("servers", "i-1");
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 2; }));
    BOOST_CHECK(!observer.changes.back().record.has_value());
}

BOOST_AUTO_TEST_CASE(listsAgainWhenHistoryIsGone)
{
    start();
    store.dropHistory();
    store.put("servers", "i-2", readyUpstreamBase64);
    BOOST_REQUIRE(runUntil([&] { return observer.listed.size() == 2; }));
    BOOST_CHECK_EQUAL(observer.lost, 0);
}

BOOST_AUTO_TEST_CASE(reportsStoreLostAndRegained)
{
    start();
    store.setStatus(503);
    store.put("servers", "i-2", readyUpstreamBase64);
    BOOST_REQUIRE(runUntil([&] { return observer.lost == 1; }));
    for (int count = 0; count < 5; ++count) {
        advance(Milliseconds(500));
        context.restart();
        context.run_for(std::chrono::milliseconds(5));
    }
    BOOST_CHECK_EQUAL(observer.lost, 1);
    store.setStatus(200);
    advance(Milliseconds(500));
    BOOST_CHECK(runUntil([&] { return observer.regained == 1; }));
}

BOOST_AUTO_TEST_CASE(silentPollTimesOut)
{
    start();
    store.setSilent(true);
    // A poll times out after its wait of 1.5 s plus the response timeout of 0.7 s.
    advance(Milliseconds(2'100));
    BOOST_CHECK_EQUAL(observer.lost, 0);
    advance(Milliseconds(200));
    BOOST_CHECK(runUntil([&] { return observer.lost == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
