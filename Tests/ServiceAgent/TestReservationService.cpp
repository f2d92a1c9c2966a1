#include "ServiceAgent/AgentFixture.h"

#include <atomic>

using namespace Lavenderpick;

namespace {

struct TwoEngines
{
    static StandIns::EngineOptions options(const std::string &name)
    {
        StandIns::EngineOptions options = AgentFixture::fastEngine();
        options.name = name;
        options.kvCapacity = 30'000;
        return options;
    }

    TwoEngines()
    {
        for (int index = 0; index < 2; ++index) {
            const std::string name = "engine-" + std::to_string(index + 1);
            engines.push_back(std::make_unique<StandIns::EngineServer>(options(name)));
            agents.push_back(std::make_unique<RunningAgent>(
                    testSettings(engines.back()->start(0), name), table, objects, entry));
        }
    }

    // P1 to P5 for a prompt in two parts; returns whether it was served.
    bool tryServe(const std::string &id, const std::string &first, const std::string &second,
                  std::string &text)
    {
        const auto releaseAll = [&] {
            for (const auto &running : agents)
                entry.send(running->agent.port(), "DELETE", "/internal/reservations/" + id);
        };
        for (const auto &running : agents) {
            const auto response =
                    entry.send(running->agent.port(), "POST", "/internal/reservations",
                               { { "reservation_id", id },
                                 { "owner", id + "/1" },
                                 { "tokens", 20'100 },
                                 { "ttl_ms", 5'000 } });
            if (response.status != 200) {
                releaseAll();
                return false;
            }
        }
        const auto segment = entry.send(agents[0]->agent.port(), "POST", "/internal/segments",
                                        { { "request_id", id },
                                          { "reservation_id", id },
                                          { "index", 0 },
                                          { "model", "lavender-1" },
                                          { "prompt", first },
                                          { "handles", nlohmann::json::array() },
                                          { "deadline_ms", 10'000 } });
        BOOST_REQUIRE(segment.status == 200);
        AttemptRequest attempt = testAttempt("attempt-" + id, second, 20);
        attempt.reservationId = id;
        attempt.handles = { parseJson(segment.body, "segment").at("handle") };
        entry.stream(agents[1]->agent.port(), "POST", "/internal/attempts", attempt.toJson(),
                     [&](const AttemptEvent &event) {
                         text += event.text;
                         return true;
                     });
        releaseAll();
        return true;
    }

    FakeTable table;
    FakeObjectStore objects;
    TestEntry entry;
    std::vector<std::unique_ptr<StandIns::EngineServer>> engines;
    std::vector<std::unique_ptr<RunningAgent>> agents;
};

} // namespace

// Guards against a deadlock, an overcommitment or a leak when two prompts that each need both
// engines reserve at the same time.
BOOST_AUTO_TEST_CASE(two_long_prompts_over_the_same_engines_at_once)
{
    TwoEngines fixture;
    std::atomic<int> served { 0 };
    const auto run = [&](const std::string &id) {
        const std::string first(80'000, id[0]);
        const std::string second(40'000, id[0]);
        std::string text;
        for (int round = 0; round < 200; ++round) {
            if (fixture.tryServe(id, first, second, text))
                break;
            std::this_thread::sleep_for(Milliseconds(20 + 7 * (round % 5)));
        }
        if (text == StandIns::expectedOutput(first + second, 20))
            ++served;
    };
    std::thread other(run, "b");
    run("a");
    other.join();
    BOOST_TEST(served == 2);
    BOOST_TEST(eventually([&] {
        return fixture.engines[0]->simulation().load().at("kv_used") == 0
                && fixture.engines[1]->simulation().load().at("kv_used") == 0;
    }));
}

// Guards against handles and segments that stay at the engine when the entry that reserved is gone.
BOOST_AUTO_TEST_CASE(expired_reservation_frees_the_engine)
{
    AgentFixture fixture;
    const auto reserve = fixture.entry.send(fixture.port(), "POST", "/internal/reservations",
                                            { { "reservation_id", "r" },
                                              { "owner", "entry-9/1" },
                                              { "tokens", 50'000 },
                                              { "ttl_ms", 700 } });
    BOOST_TEST(reserve.status == 200);
    BOOST_TEST(fixture.status().at("kv_used") == 50'000);
    const auto segment = fixture.entry.send(fixture.port(), "POST", "/internal/segments",
                                            { { "request_id", "q" },
                                              { "reservation_id", "r" },
                                              { "index", 0 },
                                              { "model", "lavender-1" },
                                              { "prompt", std::string(40'000, 'y') },
                                              { "handles", nlohmann::json::array() },
                                              { "deadline_ms", 10'000 } });
    BOOST_TEST(segment.status == 200);
    BOOST_TEST(fixture.engine->simulation().inventory().at("handles").size() == 1);
    BOOST_TEST(fixture.becomesEmpty());
    BOOST_TEST(fixture.engine->simulation().inventory().at("handles").empty());
}
