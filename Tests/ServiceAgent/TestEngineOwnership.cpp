#include "ServiceAgent/AgentFixture.h"

using namespace Lavenderpick;

BOOST_FIXTURE_TEST_SUITE(EngineOwnershipTests, AgentFixture)

// Guards against memory that a former agent left at the engine: streams and handles that nobody
// claims are released when the next agent starts.
BOOST_AUTO_TEST_CASE(inventory_of_a_former_agent_is_released)
{
    running.reset();
    engine->simulation().submit(
            { .id = "left-behind", .prompt = std::string(4'000, 'x'), .maximumTokens = 50'000 },
            false);
    BOOST_REQUIRE(engine->simulation().importHandle("kv-former-1-ab-5000").has_value());
    running = std::make_unique<RunningAgent>(testSettings(enginePort), table, objects, entry);
    BOOST_TEST(becomesEmpty());
    BOOST_TEST(status().at("released") == 2);
    BOOST_TEST(status().at("fence") == 2);
}

// Guards against a former agent that goes on to release and order at an engine which a newer agent
// holds: once it reads the higher fence, it takes no work and touches nothing.
BOOST_AUTO_TEST_CASE(former_agent_yields_to_a_higher_fence)
{
    BOOST_REQUIRE(eventually([this] { return status().at("fence") == 1; }));
    RunningAgent newer(testSettings(enginePort), table, objects, entry);
    BOOST_TEST(newer.agent.status().at("fence") == 2);
    std::string text;
    // The stream belongs to the newer agent; the former one finds it unclaimed every 300 ms.
    entry.stream(newer.agent.port(), "POST", "/internal/attempts",
                 testAttempt("a", "hello", 600).toJson(), [&](const AttemptEvent &event) {
                     text += event.text;
                     return true;
                 });
    BOOST_TEST(text == StandIns::expectedOutput("hello", 600));
    BOOST_TEST(status().at("superseded").get<bool>());
    BOOST_TEST(!status().at("accepting").get<bool>());
    BOOST_TEST(status().at("released") == 0);
}

// Guards against leaked memory while the store is down: the start is proof enough for one release.
BOOST_AUTO_TEST_CASE(inventory_is_released_at_start_without_the_store)
{
    running.reset();
    engine->simulation().submit(
            { .id = "left-behind", .prompt = std::string(4'000, 'x'), .maximumTokens = 50'000 },
            false);
    table.faults.down = true;
    running = std::make_unique<RunningAgent>(testSettings(enginePort), table, objects, entry);
    BOOST_TEST(becomesEmpty());
    BOOST_TEST(status().at("fence") == 0);
    table.faults.down = false;
    BOOST_TEST(eventually([this] { return status().at("fence") == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an engine that stays in the state ordered by a paused former agent, which it
// could not reject.
BOOST_AUTO_TEST_CASE(engine_that_ignores_fences_is_corrected)
{
    StandIns::EngineOptions options = AgentFixture::fastEngine();
    options.ignoreFence = true;
    AgentFixture fixture(options);
    auto &simulation = fixture.engine->simulation();
    BOOST_TEST(simulation.order({ { "fence", 0 },
                                  { "kind", "load_model" },
                                  { "name", "lavender-1" },
                                  { "version", "0" } }));
    BOOST_TEST(eventually([&] { return simulation.state().at("models").at("lavender-1") == "0"; }));
    BOOST_TEST(eventually([&] { return simulation.state().at("models").at("lavender-1") == "1"; }));
}
