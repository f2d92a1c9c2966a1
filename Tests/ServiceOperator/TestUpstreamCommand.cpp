#include "OperatorFixture.h"
#include "Services/Operator/UpstreamList.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

struct UpstreamFixture : OperatorFixture
{
    UpstreamFixture()
    {
        bootstrap();
        for (const char *name : { "u1", "u2" }) {
            const Vm vm { .name = std::string("vm-") + name,
                          .role = "agent",
                          .address = "127.0.0.1:23998",
                          .datagramAddress = "127.0.0.1:23998",
                          .upstream = name };
            control.send(
                    { .method = "PUT", .path = "/vms/" + vm.name, .body = vm.toJson().dump() });
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamCommandTests, UpstreamFixture)

// Guards against an operator who replaces another operator's plan without having seen it.
BOOST_AUTO_TEST_CASE(a_plan_is_only_replaced_knowingly)
{
    BOOST_TEST(tool({ "upstream", "stop", "u1", "--grace", "5 min" }).exitCode == 0);
    const ToolRun conflict = tool({ "upstream", "move", "u1", "--to", "firm:sister" });
    BOOST_TEST(conflict.exitCode == 4);
    BOOST_TEST(conflict.output.find("--base 2") != std::string::npos);
    BOOST_TEST((store.load().plan("u1")->action == PlanAction::Stop));
    BOOST_TEST(tool({ "upstream", "move", "u1", "--to", "firm:sister", "--base", "2" }).exitCode
               == 0);
    const auto plan = store.load().plan("u1");
    BOOST_TEST((plan->action == PlanAction::Move));
    BOOST_TEST(plan->by == "ops");
    BOOST_TEST(tool({ "upstream", "cancel", "u1", "--base", "2" }).exitCode == 4);
    BOOST_TEST(tool({ "upstream", "cancel", "u1" }).exitCode == 0);
    BOOST_TEST((store.load().plan("u1")->action == PlanAction::Serve));
    BOOST_TEST(store.load().planEpoch("u1") == 4);
    BOOST_TEST(tool({ "upstream", "stop", "u1" }).exitCode == 0);
}

// Guards against a plan for a misspelt upstream or model, which would have no effect.
BOOST_AUTO_TEST_CASE(plans_name_what_exists)
{
    BOOST_TEST(tool({ "upstream", "stop", "u3" }).exitCode == 3);
    BOOST_TEST(tool({ "upstream", "stop", "u3", "--unlisted" }).exitCode == 0);
    BOOST_TEST(tool({ "upstream", "move", "u1", "--to", "model:absent" }).exitCode == 3);
    BOOST_TEST(tool({ "upstream", "move", "u1", "--to", "elsewhere" }).exitCode == 3);
    BOOST_TEST(store.load().planEpoch("u1") == 0);
}

// Guards against a list that hides an upstream, or shows an unreachable one as drained.
BOOST_AUTO_TEST_CASE(the_list_shows_plans_and_states)
{
    tool({ "upstream", "stop", "u2" });
    write("cluster.key", "a cluster key of some length\n");
    write("settings.yaml",
          "platform: { address: " + address + " }\ncluster: { key_file: " + path("cluster.key")
                  + " }\n");
    const auto list = nlohmann::json::parse(tool({ "upstream", "list", "--json" }).output);
    BOOST_REQUIRE(list.size() == 2U);
    BOOST_TEST(list[0]["upstream"] == "u2");
    BOOST_TEST(list[0]["plan"]["action"] == "stop");
    BOOST_TEST(list[0]["state"] == "unknown");
    BOOST_TEST(list[1]["plan"]["action"] == "serve");
}

// Guards against "drained" from an agent that has not seen the plan yet.
BOOST_AUTO_TEST_CASE(an_agent_behind_the_plan_is_not_drained)
{
    const nlohmann::json status { { "plan_epoch", 4 },
                                  { "drained", true },
                                  { "accepting", false } };
    BOOST_TEST(agentStateOf(status, 4) == "drained");
    BOOST_TEST(agentStateOf(status, 5) == "unknown");
    BOOST_TEST(agentStateOf({ { "plan_epoch", 5 }, { "accepting", false } }, 5) == "draining");
    BOOST_TEST(agentStateOf({ { "plan_epoch", -1 }, { "accepting", true } }, 0) == "serving");
    BOOST_TEST(agentStateOf("text", 0) == "unknown");
    BOOST_TEST(agentStateOf({ { "drained", "yes" } }, 0) == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()
