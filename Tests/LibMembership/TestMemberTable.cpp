#include "lavenderpick/Membership/MemberTable.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

Vm agent(const std::string &name, VmState state = VmState::Live)
{
    return { .name = "vm-" + name,
             .role = "agent",
             .address = name + ":1",
             .datagramAddress = name + ":2",
             .upstream = name,
             .region = "r",
             .availabilityZone = "a",
             .state = state };
}

LoadReport report(const std::string &upstream, std::int64_t incarnation, std::int64_t sequence)
{
    LoadReport result;
    result.upstream = upstream;
    result.incarnation = incarnation;
    result.sequence = sequence;
    result.models = { "m" };
    return result;
}

Liveness livenessOf(const MemberTable &table, const std::string &upstream, TimePoint now)
{
    return table.liveness(*table.findUpstream(upstream), now);
}

} // namespace

// Guards against sending work to an agent that the list calls live but that has stopped reporting.
BOOST_AUTO_TEST_CASE(three_missed_reports_make_a_member_suspect)
{
    MemberTable table;
    table.apply({ 1, { agent("u1") } }, start);
    table.setWatched("u1", true, start);
    BOOST_TEST(!table.mayReceiveWork(*table.findUpstream("u1"), start));
    BOOST_TEST(table.observeReport(report("u1", 5, 1), start));
    BOOST_TEST(table.mayReceiveWork(*table.findUpstream("u1"), start + Seconds(13)));
    BOOST_TEST((livenessOf(table, "u1", start + Seconds(15)) == Liveness::Suspect));
    BOOST_TEST(table.observeReport(report("u1", 5, 2), start + Seconds(16)));
    BOOST_TEST((livenessOf(table, "u1", start + Seconds(16)) == Liveness::Alive));
}

// Guards against a late datagram of the previous process that marks it alive again or overwrites
// the state of its successor.
BOOST_AUTO_TEST_CASE(late_reports_are_ignored)
{
    MemberTable table;
    table.apply({ 1, { agent("u1") } }, start);
    BOOST_TEST(table.observeReport(report("u1", 6, 3), start));
    BOOST_TEST(!table.observeReport(report("u1", 6, 3), start));
    BOOST_TEST(!table.observeReport(report("u1", 5, 9), start));
    BOOST_TEST(!table.observeReport(report("unknown", 1, 1), start));
    BOOST_TEST(table.observeReport(report("u1", 7, 1), start));
}

// Guards against a VM that restarted under its name and stays unused while the list lags.
BOOST_AUTO_TEST_CASE(new_incarnation_overrides_a_lagging_list)
{
    MemberTable table;
    table.apply({ 1, { agent("u1") } }, start);
    table.setWatched("u1", true, start);
    table.observeReport(report("u1", 5, 1), start);
    table.apply({ 2, { agent("u1", VmState::Leaving) } }, start);
    table.observeReport(report("u1", 5, 2), start);
    BOOST_TEST((livenessOf(table, "u1", start) == Liveness::Leaving));
    table.observeReport(report("u1", 6, 1), start);
    BOOST_TEST((livenessOf(table, "u1", start) == Liveness::Alive));
    table.apply({ 3, { agent("u1", VmState::Gone) } }, start);
    BOOST_TEST((livenessOf(table, "u1", start) == Liveness::Gone));
}

// Guards against an older list response, delivered out of order, that makes a leaving VM live
// again.
BOOST_AUTO_TEST_CASE(older_list_is_ignored)
{
    MemberTable table;
    table.apply({ 4, { agent("u1", VmState::Leaving) } }, start);
    table.apply({ 3, { agent("u1") } }, start);
    BOOST_TEST((livenessOf(table, "u1", start) == Liveness::Leaving));
}

// Guards against memory use that grows with every replaced VM (1,100 a day).
BOOST_AUTO_TEST_CASE(table_is_bounded)
{
    MemberTable table({ .maximumMembers = 100 });
    for (int number = 0; number < 1'000; ++number) {
        const std::string name = "u" + std::to_string(number);
        table.apply({ number, { agent(name) } }, start);
        if (number % 2 == 0)
            table.apply({ number, { agent(name, VmState::Gone) } }, start);
    }
    BOOST_TEST(table.members().size() == 100u);
    table.apply({ 2'000, { agent("u999", VmState::Gone) } }, start);
    table.expire(start + Seconds(121));
    BOOST_TEST(!table.findUpstream("u999"));
}
