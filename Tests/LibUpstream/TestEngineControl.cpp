#include "Fakes/FakeTable.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Upstream/InventoryReconciler.h"
#include "lavenderpick/Upstream/OrderController.h"
#include "lavenderpick/Upstream/PlanFollower.h"
#include "lavenderpick/Upstream/UpstreamFence.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

} // namespace

BOOST_AUTO_TEST_SUITE(EngineControlTests)

// Guards against a late copy of an older plan that lets work in again.
BOOST_AUTO_TEST_CASE(lower_epoch_does_not_revert_a_plan)
{
    PlanFollower follower;
    BOOST_TEST(follower.accepts());
    const PlanEntry stop { .upstream = "u", .action = PlanAction::Stop, .grace = Seconds(50) };
    BOOST_TEST(follower.apply(stop, 7, start));
    BOOST_TEST(!follower.accepts());
    BOOST_TEST(!follower.apply({}, 6, start));
    BOOST_TEST(!follower.apply(stop, 7, start + Seconds(40)));
    BOOST_TEST(!follower.isDrained(1));
    BOOST_TEST(follower.isDrained(0));
    BOOST_TEST(!follower.graceEnded(start + Seconds(49)));
    BOOST_TEST(follower.graceEnded(start + Seconds(50)));
    BOOST_TEST(follower.apply({}, 8, start));
    BOOST_TEST(follower.accepts());
    follower.terminate();
    BOOST_TEST(!follower.accepts());
}

// Guards against an upstream that moved to another model and then serves nothing, and against work
// on an upstream that was handed over.
BOOST_AUTO_TEST_CASE(moved_upstream_serves_again)
{
    PlanFollower follower;
    follower.apply({ .upstream = "u", .action = PlanAction::Move, .to = "model:b" }, 3, start);
    BOOST_TEST(!follower.accepts());
    BOOST_TEST(!follower.leavesFirm());
    follower.moveCompleted();
    BOOST_TEST(follower.accepts());
    BOOST_TEST(!follower.graceEnded(start + Seconds(9'999)));
    follower.apply({ .upstream = "u", .action = PlanAction::Move, .to = "firm:sister" }, 4, start);
    BOOST_TEST(!follower.accepts());
    BOOST_TEST(follower.leavesFirm());
}

// Guards against two agents that believe to hold the same fence after a lost response or a race.
BOOST_AUTO_TEST_CASE(each_start_raises_the_fence)
{
    FakeTable table;
    const SystemClock clock;
    UpstreamFence first(table, clock, "u", "agent-1", "t1");
    UpstreamFence second(table, clock, "u", "agent-2", "t2");
    table.faults.lostAnswers = 1;
    BOOST_TEST(first.raise(Seconds(1)).value() == 1);
    BOOST_TEST(second.raise(Seconds(1)).value() == 2);
    BOOST_TEST(first.read() == 2);
    table.faults.down = true;
    BOOST_TEST(!first.raise(Seconds(1)).has_value());
}

// Guards against memory that a former agent left at the engine, and against releasing what this
// one has just started.
BOOST_AUTO_TEST_CASE(unclaimed_inventory_is_released)
{
    InventoryReconciler reconciler;
    EngineInventory releases =
            reconciler.releases({ .streams = { "old" }, .handles = { "kv-old" } }, {});
    BOOST_TEST((releases == EngineInventory { .streams = { "old" }, .handles = { "kv-old" } }));

    // The handle of a segment under way is listed before the segment's response arrives.
    releases = reconciler.releases({ .streams = { "a", "b" }, .handles = { "kv-new" } },
                                   { .streams = { "a" }, .segmentsInFlight = 1 });
    BOOST_TEST((releases == EngineInventory {}));
    releases = reconciler.releases({ .streams = { "a", "b" }, .handles = { "kv-new" } },
                                   { .streams = { "a" }, .handles = { "kv-new" } });
    BOOST_TEST((releases == EngineInventory { .streams = { "b" } }));

    // A release that got lost is found again.
    reconciler.releases({ .handles = { "kv-new" } }, {});
    releases = reconciler.releases({ .handles = { "kv-new" } }, {});
    BOOST_TEST((releases == EngineInventory { .handles = { "kv-new" } }));
}

// Guards against an engine that stays in the state that a paused former agent ordered.
BOOST_AUTO_TEST_CASE(difference_is_ordered_until_it_is_gone)
{
    OrderController controller;
    controller.setFence(5);
    controller.observeFence(5, start);
    controller.setDesired({ .models = { { "m", "2" } }, .role = "decode", .epoch = 9 });
    controller.setDesired({ .models = { { "m", "1" } }, .epoch = 8 });

    const EngineState old { .models = { { "m", "1" }, { "x", "1" } }, .role = "both" };
    const auto orders = controller.ordersFor(old, start);
    BOOST_REQUIRE(orders.size() == 3);
    BOOST_TEST(
            (orders[0]
             == EngineOrder {
                     .fence = 5, .epoch = 9, .kind = "load_model", .name = "m", .version = "2" }));
    BOOST_TEST(orders[1].kind == "unload_model");
    BOOST_TEST(orders[2].kind == "role");
    BOOST_TEST(controller.ordersFor(old, start + Seconds(5)).empty());
    controller.orderFailed(orders[0]);
    BOOST_TEST(controller.ordersFor(old, start + Seconds(5)).size() == 1);

    const EngineState desired { .models = { { "m", "2" } }, .role = "decode" };
    BOOST_TEST(controller.ordersFor(desired, start + Seconds(10)).empty());
    BOOST_TEST(controller.ordersFor(old, start + Seconds(15)).size() == 3);
}

// Guards against a paused agent that goes on to command an engine which a newer agent holds.
BOOST_AUTO_TEST_CASE(old_fence_ends_orders)
{
    OrderController controller;
    controller.setDesired({ .models = { { "m", "2" } }, .epoch = 9 });
    BOOST_TEST(controller.ordersFor({}, start).empty());
    controller.setFence(5);
    controller.observeFence(5, start);
    BOOST_TEST(!controller.mustCheckFence(start + Seconds(2)));
    BOOST_TEST(controller.mustCheckFence(start + Milliseconds(2'001)));
    controller.observeFence(6, start + Seconds(3));
    BOOST_TEST(controller.isSuperseded());
    BOOST_TEST(controller.ordersFor({}, start + Seconds(3)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
