#include "GeneratedConfiguration.h"
#include "Tests/ServiceGateway/ScriptedUpstream.h"
#include "lavenderpick/Base/Base64.h"
#include "lavenderpick/Forward/HttpGrammar.h"
#include "lavenderpick/Forward/StorePosition.h"
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
    ConfigurationSnapshot snapshot; ///< The last.
    std::vector<std::string> listed;
    std::vector<UpstreamChange> changes;
    std::vector<UpstreamChangeSet> changesRead;
    std::vector<EvacuationUpdate> evacuations;
    std::vector<GatewayRecord> gateways;
    std::vector<std::pair<std::int64_t, std::int64_t>> returns; ///< Former and new eras.
    int lost { 0 };
    int regained { 0 };
    int failed { 0 };
    TimePoint respondedAt {};

    void configurationRead(ConfigurationSnapshot read) override
    {
        revisions.push_back(read.revision);
        snapshot = std::move(read);
    }
    void upstreamsListed(const std::vector<UpstreamRecord> &records) override
    {
        listed.clear();
        for (const UpstreamRecord &record : records)
            listed.push_back(record.id);
    }
    void upstreamChanged(const UpstreamChange &change) override { changes.push_back(change); }
    void upstreamChangesRead(const UpstreamChangeSet &changeSet) override
    {
        changesRead.push_back(changeSet);
    }
    void zonesEvacuated(const EvacuationUpdate &update) override { evacuations.push_back(update); }
    void storeReturned(std::int64_t formerEra, std::int64_t era) override
    {
        returns.emplace_back(formerEra, era);
    }
    void gatewaysListed(const std::vector<GatewayRecord> &records) override { gateways = records; }
    void storeLost(const std::string &) override { ++lost; }
    void storeRegained() override { ++regained; }
    void storeCallFailed() override { ++failed; }
    void storeResponded(TimePoint at) override { respondedAt = std::max(respondedAt, at); }
};

/// An in-memory store on loopback. It leaves a long poll open until a row of the table changes.
class FakeStore
{
public:
    explicit FakeStore(asio::io_context &context)
        : m_context(context)
        , m_server(context, [this](const ReceivedRequest &request, const Peer &peer) {
            handleRequest(request, peer);
        })
    { }

    std::string address() const { return m_server.address(); }

    void put(const std::string &table, const std::string &key, const std::string &base64Value,
             const std::string &part = "")
    {
        const nlohmann::json row { { "table", table },
                                   { "part", part },
                                   { "key", key },
                                   { "value", base64Value },
                                   { "revision", ++revision } };
        if (part.empty())
            m_rows[table][key] = row;
        m_history.push_back(row);
        completePoll(table, row);
    }

    void remove(const std::string &table, const std::string &key, const std::string &part = "")
    {
        if (part.empty())
            m_rows[table].erase(key);
        const nlohmann::json row { { "table", table },
                                   { "part", part },
                                   { "key", key },
                                   { "removed", true },
                                   { "revision", ++revision } };
        m_history.push_back(row);
        completePoll(table, row);
    }

    /// The store is as it was when `copy` was made, and in the next era.
    struct Copy
    {
        std::map<std::string, std::map<std::string, nlohmann::json>> rows;
        std::int64_t revision { 0 };
    };
    Copy copy() const { return { .rows = m_rows, .revision = revision }; }
    void comeBackFrom(const Copy &copy)
    {
        m_rows = copy.rows;
        revision = copy.revision;
        m_history.clear();
        era = era.value_or(0) + 1;
    }

    void setStatus(int status) { m_status = status; }
    void dropHistory() { m_historyGone = true; }
    /// Listings return so many rows at a time; `betweenPages` runs after each page but the last.
    void setPageSize(std::size_t rows, std::function<void()> betweenPages)
    {
        m_pageSize = rows;
        m_betweenPages = std::move(betweenPages);
    }
    /// Runs before the next listing is answered.
    void setBeforeListing(std::function<void()> action) { m_beforeListing = std::move(action); }
    /// Whether every page of a listing is the first one.
    void setRepeatsPages(bool repeats) { m_repeatsPages = repeats; }
    void setSilent(bool silent) { m_silent = silent; }
    /// Whether responses are bodies without end.
    void setEndless(bool endless) { m_endless = endless; }

    std::int64_t revision { 10 };
    std::optional<int> era {}; ///< Named in all responses, if set.
    int historyGone { 0 };     ///< Responses with status 410.
    int calls { 0 };
    int writes { 0 };
    int listings { 0 };
    int polls { 0 };

private:
    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t start = target.find(name + "=");
        if (start == std::string::npos)
            return {};
        const std::size_t value = start + name.size() + 1;
        return decoded(target.substr(value, target.find('&', value) - value));
    }

    /// As a server reads a field of a form: a plus sign is a space.
    static std::string decoded(const std::string &text)
    {
        std::string result;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] == '%') {
                result += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
                index += 2;
            } else {
                result += text[index] == '+' ? ' ' : text[index];
            }
        }
        return result;
    }

    void respond(const Peer &peer, int status, const nlohmann::json &body)
    {
        const std::string text = body.dump();
        peer->write("HTTP/1.1 " + std::to_string(status)
                    + (era ? " X\r\nStore-Era: " + std::to_string(*era) : " X")
                    + "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
    }

    nlohmann::json rowsResponse(const nlohmann::json &records) const
    {
        return { { "records", records }, { "hasMore", false }, { "revision", revision } };
    }

    void handleRequest(const ReceivedRequest &request, const Peer &peer)
    {
        const std::string &target = request.head.target;
        ++calls;
        if (m_silent)
            return;
        if (m_endless) {
            peer->write("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n");
            writeWithoutEnd(peer);
            return;
        }
        if (m_status != 200) {
            respond(peer, m_status, nlohmann::json::object());
            return;
        }
        const std::string table = parameter(target, "table");
        if (target.starts_with("/rows-tx")) {
            ++writes;
            const nlohmann::json body = nlohmann::json::parse(request.body);
            for (const nlohmann::json &row : body.at("setKeys"))
                put(row.at("table"), row.at("key"), row.at("value"));
            respond(peer, 200, { { "revision", revision } });
        } else if (target.starts_with("/rows-get")) {
            ++listings;
            const std::string from = m_repeatsPages ? "" : parameter(target, "from");
            nlohmann::json records = nlohmann::json::array();
            bool hasMore = false;
            const auto &rows = m_rows[table];
            for (auto row = rows.lower_bound(from); row != rows.end(); ++row) {
                hasMore = records.size() == m_pageSize;
                if (hasMore)
                    break;
                records.push_back(row->second);
            }
            nlohmann::json response = rowsResponse(records);
            response["hasMore"] = hasMore;
            if (const auto action = std::exchange(m_beforeListing, nullptr))
                action();
            respond(peer, 200, response);
            if (hasMore && m_betweenPages)
                m_betweenPages();
        } else if (std::stoll(parameter(target, "afterRev")) > revision) {
            ++historyGone;
            respond(peer, 410, nlohmann::json::object());
        } else if (m_historyGone) {
            m_historyGone = false;
            respond(peer, 410, nlohmann::json::object());
        } else if (parameter(target, "waitMs") == "0") {
            const std::int64_t after = std::stoll(parameter(target, "afterRev"));
            nlohmann::json records = nlohmann::json::array();
            for (const nlohmann::json &row : m_history) {
                if (row.at("table") == table && row.at("revision") > after)
                    records.push_back(row);
            }
            respond(peer, 200, rowsResponse(records));
        } else {
            ++polls;
            m_polls[table] = peer;
        }
    }

    void writeWithoutEnd(const Peer &peer)
    {
        if (!peer->isOpen())
            return;
        peer->write("10000\r\n" + std::string(65'536, ' ') + "\r\n");
        asio::post(m_context, [this, peer] { writeWithoutEnd(peer); });
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
    std::vector<nlohmann::json> m_history;
    std::map<std::string, Peer> m_polls;
    int m_status { 200 };
    bool m_historyGone { false };
    bool m_silent { false };
    bool m_endless { false };
    bool m_repeatsPages { false };
    std::size_t m_pageSize { 500 };
    std::function<void()> m_betweenPages;
    std::function<void()> m_beforeListing;
    asio::io_context &m_context;
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
    SeededRandom random { 1 };
    FeedScheduleSettings settings = FeedScheduleSettings::forPropagationLimit(Seconds(2));
    Platform::StoreSource source { context, clock, random, store.address(), settings };
    RecordingObserver observer;

    bool runUntil(const std::function<bool()> &condition,
                  std::chrono::milliseconds limit = std::chrono::milliseconds(2'000))
    {
        const auto deadline = std::chrono::steady_clock::now() + limit;
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
        source.start(observer, { .address = "10.0.0.5:7340", .availabilityZone = "a" });
        BOOST_REQUIRE(runUntil([&] {
            return store.listings >= 3 && !observer.listed.empty() && !observer.gateways.empty();
        }));
        advance(settings.maximumAge);
        BOOST_REQUIRE(runUntil([&] { return store.polls >= 2; }));
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
    advance(settings.changeSpacing);
    BOOST_REQUIRE(runUntil([&] { return store.polls >= 4; }));
    store.remove("servers", "i-1");
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 2; }));
    BOOST_CHECK(!observer.changes.back().record.has_value());
}

// Guards against rows of other parts that are taken for entries of upstreams, for the configuration
// or for evacuations, by a gateway that reads them or by its peers.
BOOST_AUTO_TEST_CASE(rowsOfOtherPartsAreIgnored)
{
    start();
    source.setRole(FeedRole::Follower); // Reads without a wait, so that the store answers at once.
    store.put("op", "note", "e30=");    // Completes the open polls.
    store.put("servers", "i-2", readyUpstreamBase64);
    BOOST_REQUIRE(runUntil([&] {
        const ControlPlaneReport report = source.report(clock.now());
        return observer.changes.size() == 1
                && report.configuration.newestChange == store.revision - 1;
    }));
    const std::size_t evacuations = observer.evacuations.size();
    const std::size_t changesRead = observer.changesRead.size();
    for (int number = 0; number < 500; ++number)
        store.put("servers", "other-" + std::to_string(number), readyUpstreamBase64, "copies");
    store.put("servers", "i-1", readyUpstreamBase64, "copies");
    store.remove("servers", "i-2", "copies");
    store.put("op", "config", configurationBase64, "copies");
    store.put("op", "evacuate/a", "e30=", "copies");
    store.remove("op", "config", "copies");
    const ControlPlaneReport newest { .configuration = { .newestChange = store.revision },
                                      .upstreams = { .newestChange = store.revision } };
    source.peerReported(newest, clock.now());
    advance(settings.catchUpSpread);
    BOOST_REQUIRE(runUntil([&] {
        const ControlPlaneReport report = source.report(clock.now());
        return report.configuration.readTo == store.revision
                && report.upstreams.readTo == store.revision;
    }));
    BOOST_CHECK_EQUAL(observer.changes.size(), 1);
    BOOST_CHECK_EQUAL(observer.changesRead.size(), changesRead);
    BOOST_CHECK_EQUAL(observer.revisions.size(), 1);
    BOOST_CHECK_EQUAL(observer.evacuations.size(), evacuations);
    // What is written in the empty part next is seen.
    store.remove("servers", "i-2");
    source.peerReported({ .upstreams = { .newestChange = store.revision } }, clock.now());
    advance(settings.catchUpSpread);
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 2; }));
    BOOST_CHECK_EQUAL(observer.changes.back().id, "i-2");
}

// A large value is cut out of the response instead of parsed with it, and must arrive unchanged.
BOOST_AUTO_TEST_CASE(aLargeConfigurationArrivesWhole)
{
    start();
    const std::string text = makeLargeConfiguration(400).dump();
    store.put("op", "config", toBase64(text));
    BOOST_REQUIRE(runUntil([&] { return observer.revisions.size() == 2; }));
    BOOST_CHECK_EQUAL(observer.snapshot.revision, observer.revisions.back());
    BOOST_CHECK(observer.snapshot.encoded);
    BOOST_CHECK_EQUAL(source.decodeTransfer(observer.snapshot.text), text);
}

BOOST_AUTO_TEST_CASE(changesThatFollowEachOtherTakeOneCall)
{
    start();
    const int calls = store.calls;
    for (int number = 0; number < 20; ++number)
        store.put("servers", "i-" + std::to_string(10 + number), readyUpstreamBase64);
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 1; }));
    source.setRole(
            FeedRole::Follower); // The next read has no wait, so that the fake store answers it.
    source.peerReported({ .upstreams = { .newestChange = store.revision } }, clock.now());
    advance(settings.changeSpacing);
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 20; }));
    BOOST_CHECK_EQUAL(store.calls - calls, 1);
    BOOST_REQUIRE_EQUAL(observer.changesRead.size(), 2);
    BOOST_CHECK_EQUAL(observer.changesRead[1].previousChange,
                      observer.changesRead[0].entries.back().revision);
}

BOOST_AUTO_TEST_CASE(registersItselfAndListsOthers)
{
    // Rows of earlier versions hold only the address.
    store.put("gateways", "10.0.0.6:7340", "MTAuMC4wLjY6NzM0MA==");
    start();
    BOOST_CHECK_EQUAL(store.writes, 1);
    const std::vector<GatewayRecord> expected {
        { .address = "10.0.0.5:7340", .availabilityZone = "a" },
        { .address = "10.0.0.6:7340" },
    };
    BOOST_CHECK(observer.gateways == expected);
}

BOOST_AUTO_TEST_CASE(registersAgainWhenItsRowIsGone)
{
    start();
    store.remove("gateways", "10.0.0.5:7340");
    for (int count = 0; count < 30 && store.writes < 2; ++count) {
        advance(Milliseconds(500));
        context.restart();
        context.run_for(std::chrono::milliseconds(5));
    }
    BOOST_CHECK_EQUAL(store.writes, 2);
}

BOOST_AUTO_TEST_CASE(followerAppliesWhatPeersRead)
{
    start();
    const std::int64_t read = source.report(clock.now()).upstreams.readTo;
    source.setRole(FeedRole::Follower);
    store.remove("servers", "i-1"); // Completes the open poll, which is the last one.
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 1; }));
    const int calls = store.calls;
    const auto change = [](const std::string &id) {
        return UpstreamChange { .id = id, .record = UpstreamRecord { .id = id, .service = "s" } };
    };
    const std::int64_t last = source.report(clock.now()).upstreams.newestChange;
    BOOST_CHECK_GT(last, read);
    source.peerReadChanges({ .previousChange = last,
                             .entries = { { .revision = last + 3, .change = change("i-7") },
                                          { .revision = last + 4, .change = change("i-8") } } },
                           clock.now());
    BOOST_REQUIRE_EQUAL(observer.changes.size(), 3);
    BOOST_CHECK_EQUAL(observer.changes.back().id, "i-8");
    // The other reader sends the same changes.
    source.peerReadChanges({ .previousChange = last + 3,
                             .entries = { { .revision = last + 4, .change = change("i-8") } } },
                           clock.now());
    BOOST_CHECK_EQUAL(observer.changes.size(), 3);
    advance(Milliseconds(100));
    BOOST_CHECK_EQUAL(store.calls, calls);
}

// Rows that change in one transaction share its revision; only the first one was applied.
BOOST_AUTO_TEST_CASE(followerAppliesAllRowsOfATransaction)
{
    start();
    source.setRole(FeedRole::Follower);
    store.remove("servers", "i-1"); // Completes the open poll, which is the last one.
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 1; }));
    const std::int64_t last = source.report(clock.now()).upstreams.newestChange;
    const auto entry = [&](std::int64_t revision, const std::string &id) {
        return UpstreamChangeSet::Entry { .revision = revision, .change = { .id = id } };
    };
    const UpstreamChangeSet changes { .previousChange = last,
                                      .entries = { entry(last + 2, "a"), entry(last + 2, "b"),
                                                   entry(last + 5, "c"), entry(last + 5, "c"),
                                                   entry(last + 5, "d") } };
    source.peerReadChanges(changes, clock.now());
    BOOST_REQUIRE_EQUAL(observer.changes.size(), 6);
    BOOST_CHECK_EQUAL(observer.changes[2].id, "b");
    BOOST_CHECK_EQUAL(observer.changes.back().id, "d");
    // The other reader sends the same changes.
    source.peerReadChanges(changes, clock.now());
    BOOST_CHECK_EQUAL(observer.changes.size(), 6);
}

BOOST_AUTO_TEST_CASE(followerReadsTheStoreWhenAPeersChangesLeaveAGap)
{
    start();
    source.setRole(FeedRole::Follower);
    store.put("servers", "i-2", readyUpstreamBase64); // Completes the open poll.
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 1; }));
    store.put("servers", "i-3", readyUpstreamBase64);
    const std::int64_t missed = store.revision;
    store.put("servers", "i-4", readyUpstreamBase64);
    const UpstreamChange change { .id = "i-4", .record = UpstreamRecord { .id = "i-4" } };
    source.peerReadChanges({ .previousChange = missed,
                             .entries = { { .revision = store.revision, .change = change } } },
                           clock.now());
    BOOST_CHECK_EQUAL(observer.changes.size(), 1);
    advance(settings.catchUpSpread);
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 3; }));
    BOOST_CHECK_EQUAL(observer.changes[1].id, "i-3");
    BOOST_CHECK_EQUAL(observer.changes[2].record->service, "s");
}

BOOST_AUTO_TEST_CASE(aFreshReportOfAPeerEndsAnOutage)
{
    start();
    source.setRole(FeedRole::Follower);
    store.setStatus(503);
    advance(settings.maximumAge);
    advance(settings.maximumAge);
    BOOST_REQUIRE(runUntil([&] {
        advance(settings.maximumAge);
        return observer.lost == 1;
    }));
    const std::int64_t known = source.report(clock.now()).upstreams.readTo;
    source.peerReported({ .upstreams = { .newestChange = known + 1, .readTo = known + 1 } },
                        clock.now());
    BOOST_CHECK_EQUAL(observer.regained, 0);
    source.peerReported({ .upstreams = { .newestChange = known, .readTo = known + 1 } },
                        clock.now());
    BOOST_CHECK_EQUAL(observer.regained, 1);
}

// A gateway that alone loses the store must not take that for an outage, nor miss a real one.
BOOST_AUTO_TEST_CASE(reportsWhenTheStoreRespondedToAnyGateway)
{
    start();
    source.setRole(FeedRole::Follower);
    const TimePoint listedAt = clock.now() - settings.maximumAge;
    BOOST_CHECK(observer.respondedAt == listedAt);
    store.setStatus(503);
    BOOST_REQUIRE(runUntil([&] {
        advance(settings.maximumAge);
        return observer.failed >= 2;
    }));
    BOOST_CHECK_EQUAL(observer.lost, 1);
    BOOST_CHECK(observer.respondedAt == listedAt);
    BOOST_CHECK(source.storeRespondedAt() == listedAt);
    source.peerReachedStore(clock.now() - Milliseconds(100));
    BOOST_CHECK(observer.respondedAt == clock.now() - Milliseconds(100));
    BOOST_CHECK(source.storeRespondedAt() == listedAt);
}

BOOST_AUTO_TEST_CASE(listsAgainWhenHistoryIsGone)
{
    start();
    store.dropHistory();
    store.put("servers", "i-2", readyUpstreamBase64);
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 1; }));
    advance(settings.changeSpacing);
    BOOST_REQUIRE(runUntil([&] { return observer.listed.size() == 2; }));
    BOOST_CHECK_EQUAL(observer.lost, 0);
}

// Guards against followers that hear of an evacuation only when the configuration changes too: the
// row has a revision of its own, and a follower does not poll.
BOOST_AUTO_TEST_CASE(followerReadsAnEvacuationThatAPeerReports)
{
    start();
    BOOST_REQUIRE_EQUAL(observer.evacuations.size(), 1);
    BOOST_CHECK(observer.evacuations.front().zones.empty());
    BOOST_CHECK(observer.evacuations.front().listedAt.has_value());
    source.setRole(FeedRole::Follower);
    store.put("op", "note", "e30="); // Completes the open poll, which is the last one.
    BOOST_REQUIRE(runUntil([&] {
        return source.report(clock.now()).configuration.newestChange == store.revision;
    }));
    const int polls = store.polls;
    store.put("op", "evacuate/b", "e30=");
    const std::int64_t began = store.revision;
    store.put("op", "evacuate/", "e30=");
    store.put("op", "evacuated/c", "e30=");
    store.remove("op", "evacuate/b");
    source.peerReported({ .configuration = { .newestChange = store.revision } }, clock.now());
    advance(settings.catchUpSpread);
    BOOST_REQUIRE(runUntil([&] { return observer.evacuations.size() == 2; }));
    const EvacuationUpdate expected {
        .zones = { { .zone = "b", .revision = began, .evacuated = true },
                   { .zone = "b", .revision = store.revision, .evacuated = false } }
    };
    BOOST_CHECK(observer.evacuations.back() == expected);
    BOOST_CHECK_EQUAL(observer.revisions.size(), 1);
    BOOST_CHECK_EQUAL(store.polls, polls);
}

// Guards against an evacuation that lasts because its removed row is no longer in the history, and
// against a listing that counts as of a later revision than its rows.
BOOST_AUTO_TEST_CASE(aListingHasItsRevisionAndAllEvacuations)
{
    store.put("op", "evacuate/a", "");
    const std::int64_t listedAt = store.revision;
    const ZoneEvacuation evacuation { .zone = "a", .revision = listedAt, .evacuated = true };
    store.put("servers", "i-1", readyUpstreamBase64);
    store.setBeforeListing([this] { store.remove("op", "evacuate/a"); });
    source.start(observer, { .address = "10.0.0.5:7340", .availabilityZone = "a" });
    BOOST_REQUIRE(runUntil([&] { return !observer.evacuations.empty(); }));
    BOOST_CHECK(observer.evacuations.front().zones == std::vector { evacuation });
    BOOST_CHECK_GE(observer.evacuations.front().listedAt.value_or(0), listedAt);
    BOOST_CHECK_LT(observer.evacuations.front().listedAt.value_or(0), store.revision);
    advance(settings.maximumAge);
    BOOST_REQUIRE(runUntil([&] { return store.polls >= 1; }));
    store.dropHistory();
    store.put("op", "note", "e30=");
    advance(settings.changeSpacing);
    BOOST_REQUIRE(runUntil([&] { return observer.evacuations.back().zones.empty(); }));
    BOOST_CHECK_EQUAL(observer.evacuations.back().listedAt.value_or(0), store.revision);
}

// A change to a row of an earlier page was lost, since the listing counted as of its last page.
BOOST_AUTO_TEST_CASE(changesBetweenThePagesOfAListingAreRead)
{
    store.put("servers", "i-1", readyUpstreamBase64);
    store.put("servers", "i-2", readyUpstreamBase64);
    store.setPageSize(1, [this] { store.remove("servers", "i-1"); });
    source.start(observer, { .address = "10.0.0.5:7340", .availabilityZone = "a" });
    BOOST_REQUIRE(runUntil([&] { return !observer.listed.empty(); }));
    source.setRole(FeedRole::Follower); // Reads without a wait.
    advance(settings.maximumAge);
    BOOST_REQUIRE(runUntil([&] { return !observer.changes.empty(); }));
    BOOST_CHECK_EQUAL(observer.changes.front().id, "i-1");
    BOOST_CHECK(!observer.changes.front().record);
}

// Guards against a key that changes the query of the next page: one with `%20` made the store
// return the same page again and again, and one with a space made the request invalid.
BOOST_AUTO_TEST_CASE(keysThatNeedEncodingAreListedOnce)
{
    const std::vector<std::string> keys {
        "copy%20of",
        "copy%00",
        "copy%2",
        "copy%",
        "copy of",
        "copy+of",
        "a&from=",
        "a=b",
        "a#b",
        "a?b",
        "a/b",
        "a\r\nb",
        "a\tb",
        "\"a\"",
        "\u00e9t\u00e9",
        "\U0001f33f",
        std::string(1, '\0') + "b",
        "~._-",
        "z",
    };
    for (const std::string &key : keys)
        store.put("servers", key, readyUpstreamBase64);
    for (const std::size_t pageSize : { 1, 2, 3 }) {
        store.setPageSize(pageSize, nullptr);
        const int listings = store.listings;
        Platform::StoreSource lister(context, clock, random, store.address(), settings);
        RecordingObserver seen;
        lister.start(seen, { .address = "10.0.0.5:7340", .availabilityZone = "a" });
        // A gateway that reads the same page again and again never ends, so the calls are bounded.
        const int mostListings = 3 * static_cast<int>(keys.size());
        BOOST_REQUIRE(runUntil(
                [&] { return !seen.listed.empty() || store.listings - listings > mostListings; }));
        BOOST_CHECK_LE(store.listings - listings, mostListings);
        std::vector<std::string> expected = keys;
        // A key with a control character can't name an upstream in the head of a request.
        std::erase_if(expected, [](const std::string &key) { return !isFieldValue(key); });
        BOOST_CHECK_EQUAL(expected.size() + 2, keys.size());
        std::sort(expected.begin(), expected.end());
        BOOST_CHECK_EQUAL_COLLECTIONS(seen.listed.begin(), seen.listed.end(), expected.begin(),
                                      expected.end());
    }
}

// Guards against a listing that a store which repeats a page keeps going for ever, and against one
// that counts as complete although it isn't.
BOOST_AUTO_TEST_CASE(aListingThatDoesNotContinueFailsAndIsTriedAgainLater)
{
    store.put("op", "config", configurationBase64);
    store.put("servers", "i-1", readyUpstreamBase64);
    store.put("servers", "i-2", readyUpstreamBase64);
    store.setPageSize(1, nullptr);
    store.setRepeatsPages(true);
    source.start(observer, { .address = "10.0.0.5:7340", .availabilityZone = "a" });
    BOOST_REQUIRE(runUntil([&] { return observer.lost == 1; }));
    for (int count = 0; count < 40; ++count) {
        advance(Milliseconds(50));
        runUntil([] { return false; }, std::chrono::milliseconds(4));
    }
    // Two pages at each try, in 2 s some 6 tries.
    BOOST_CHECK_LE(store.listings, 20);
    BOOST_CHECK(observer.listed.empty());
    store.setRepeatsPages(false);
    advance(Seconds(1));
    BOOST_REQUIRE(runUntil([&] { return !observer.listed.empty(); }));
    BOOST_CHECK((observer.listed == std::vector<std::string> { "i-1", "i-2" }));
    BOOST_CHECK_EQUAL(observer.regained, 1);
}

// The new listing undid a change that a peer had passed on meanwhile, which was never read again.
BOOST_AUTO_TEST_CASE(changesThatAPeerReadDuringANewListingAreNotLost)
{
    start();
    store.dropHistory();
    store.put("servers", "i-2", readyUpstreamBase64);
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 1; }));
    store.setBeforeListing([this] {
        const std::int64_t previous = store.revision;
        store.remove("servers", "i-1");
        source.peerReadChanges(
                { .previousChange = previous,
                  .entries = { { .revision = store.revision, .change = { .id = "i-1" } } } },
                clock.now());
    });
    advance(settings.changeSpacing);
    BOOST_REQUIRE(runUntil([&] { return observer.listed.size() == 2; }));
    observer.changes.clear();
    source.setRole(FeedRole::Follower); // Reads without a wait.
    advance(settings.maximumAge);
    BOOST_REQUIRE(runUntil([&] { return !observer.changes.empty(); }));
    BOOST_CHECK_EQUAL(observer.changes.back().id, "i-1");
}

// Guards against a gateway that takes revisions as rising for ever: it read on from one that the
// store did not have, got 410 again and again, and missed a configuration that was written next.
BOOST_AUTO_TEST_CASE(followsAStoreThatCameBackFromAnOlderCopy)
{
    for (const FeedRole role : { FeedRole::Alone, FeedRole::Reader, FeedRole::Follower }) {
        FakeStore drilled(context);
        drilled.era = 3;
        Platform::StoreSource gateway(context, clock, random, drilled.address(), settings);
        RecordingObserver seen;
        const auto pass = [&](Duration duration) {
            for (Duration passed {}; passed < duration; passed += Milliseconds(50)) {
                clock.advance(Milliseconds(50));
                gateway.checkTimeouts(clock.now());
                runUntil([] { return false; }, std::chrono::milliseconds(4));
            }
        };
        drilled.put("op", "config", configurationBase64);
        drilled.put("servers", "i-1", readyUpstreamBase64);
        const FakeStore::Copy copy = drilled.copy();
        gateway.start(seen, { .address = "10.0.0.5:7340", .availabilityZone = "a" });
        gateway.setRole(role);
        pass(Seconds(1));
        for (int index = 0; index < 20; ++index)
            drilled.put("servers", "i-" + std::to_string(index), readyUpstreamBase64);
        pass(Seconds(3));
        const int writes = drilled.writes;
        drilled.comeBackFrom(copy);
        drilled.setSilent(true); // Open polls are never answered.
        pass(Seconds(1));
        drilled.setSilent(false);
        pass(Seconds(4));
        BOOST_CHECK_EQUAL(seen.returns.size(), 1);
        BOOST_CHECK((seen.returns.front() == std::pair<std::int64_t, std::int64_t>(3, 4)));
        BOOST_CHECK_EQUAL(seen.listed.size(), 1);
        BOOST_CHECK_LE(drilled.historyGone, 2); // One of each table.
        BOOST_CHECK_GT(drilled.writes, writes); // It registered again.
        drilled.put("op", "config", configurationBase64);
        pass(Seconds(2));
        BOOST_CHECK_EQUAL(seen.revisions.back(),
                          (StorePosition { 4, drilled.revision }.toNumber()));
        BOOST_CHECK_LE(drilled.historyGone, 2);
    }
}

// Guards against a listing of several pages that begins again after each first page, since what was
// read before the store's return is of an earlier era until a listing is complete.
BOOST_AUTO_TEST_CASE(listsATableOfSeveralPagesOnceAfterTheStoresReturn)
{
    store.era = 1;
    store.put("servers", "i-2", readyUpstreamBase64);
    store.put("servers", "i-3", readyUpstreamBase64);
    start();
    const FakeStore::Copy copy = store.copy();
    observer.listed.clear();
    store.setPageSize(1, nullptr);
    store.comeBackFrom(copy);
    store.put("op", "config", configurationBase64); // Its poll is answered in the new era.
    const int listings = store.listings;
    for (int count = 0; count < 60; ++count) {
        advance(Milliseconds(50));
        runUntil([] { return false; }, std::chrono::milliseconds(4));
    }
    BOOST_CHECK_EQUAL(observer.listed.size(), 3);
    // One page for each row of the three tables: the configuration, the upstreams, this gateway.
    BOOST_CHECK_LE(store.listings - listings, 5);
}

// Guards against a response that waited in a buffer, and against a gateway that does not read: both
// must not hide that the store came back.
BOOST_AUTO_TEST_CASE(learnsOfTheStoresReturnFromPeersAndIgnoresLateResponses)
{
    store.era = 5;
    start();
    source.setRole(FeedRole::Follower);
    const std::int64_t before = source.report(clock.now()).upstreams.readTo;
    const std::int64_t returned = StorePosition { 6, 1 }.toNumber();
    source.peerReported({ .configuration = { .newestChange = returned, .readTo = returned },
                          .upstreams = { .newestChange = returned, .readTo = returned } },
                        clock.now());
    BOOST_REQUIRE_EQUAL(observer.returns.size(), 1);
    const int listings = store.listings;
    for (int count = 0; count < 30; ++count) {
        advance(Milliseconds(100));
        runUntil([] { return false; }, std::chrono::milliseconds(4));
    }
    // The store's own responses are of the former era, as from a buffer.
    BOOST_CHECK_GT(store.listings, listings);
    BOOST_CHECK_EQUAL(source.report(clock.now()).upstreams.readTo, before);
    store.era = 6;
    for (int count = 0; count < 30; ++count) {
        advance(Milliseconds(100));
        runUntil([] { return false; }, std::chrono::milliseconds(4));
    }
    BOOST_CHECK_EQUAL(StorePosition::fromNumber(source.report(clock.now()).upstreams.readTo).era,
                      6);
    BOOST_CHECK_EQUAL(observer.returns.size(), 1);
}

BOOST_AUTO_TEST_CASE(reportsStoreLostAndRegained)
{
    start();
    store.setStatus(503);
    store.put("servers", "i-2", readyUpstreamBase64);
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 1; }));
    advance(settings.changeSpacing);
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
    const Duration timeout = settings.alonePollWait + Platform::StoreClient::responseTimeout;
    const int calls = store.calls;
    advance(timeout - Milliseconds(100));
    BOOST_CHECK(!runUntil([&] { return store.calls > calls; }, std::chrono::milliseconds(50)));
    advance(Milliseconds(200));
    BOOST_REQUIRE(runUntil([&] { return store.calls >= calls + 2; }));
    BOOST_CHECK_EQUAL(observer.lost, 0);
    advance(Platform::StoreClient::responseTimeout - Milliseconds(100));
    BOOST_CHECK(!runUntil([&] { return observer.lost > 0; }, std::chrono::milliseconds(50)));
    advance(Milliseconds(200));
    BOOST_CHECK(runUntil([&] { return observer.lost == 1; }));
}

// A connection that had gone silent was taken for an outage of the store, which delayed removals.
BOOST_AUTO_TEST_CASE(silentConnectionIsNoOutage)
{
    start();
    store.setSilent(true);
    const int calls = store.calls;
    advance(settings.alonePollWait + Platform::StoreClient::responseTimeout);
    store.setSilent(false);
    store.remove("servers", "i-1");
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 1; }));
    BOOST_CHECK_GT(store.calls, calls);
    BOOST_CHECK_EQUAL(observer.lost, 0);
    BOOST_CHECK_EQUAL(observer.failed, 0);
}

// The clock stands still, so only the limit in bytes ends the response.
BOOST_AUTO_TEST_CASE(endlessResponseOfTheStoreCountsAsAFailure)
{
    start();
    store.setEndless(true);
    store.put("servers", "i-2", readyUpstreamBase64);
    BOOST_REQUIRE(runUntil([&] { return observer.changes.size() == 1; }));
    advance(settings.changeSpacing);
    BOOST_CHECK(runUntil([&] { return observer.lost == 1; }));
    store.setEndless(false);
    advance(Seconds(1));
    BOOST_CHECK(runUntil([&] { return observer.regained == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
