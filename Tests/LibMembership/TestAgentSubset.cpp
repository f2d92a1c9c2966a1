#include "lavenderpick/Membership/AgentSubset.h"
#include "lavenderpick/Membership/GossipSchedule.h"
#include "lavenderpick/Membership/ReportInterval.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };
const std::vector<std::string> models { "m0", "m1" };

// Gives each of the two models 48 agents.
const AgentSubsetSettings twoModelSettings { .size = 96 };

/// Two regions with three availability zones of 100 agents each; the agents alternate between the
/// models.
class Fleet
{
public:
    Fleet()
    {
        for (int number = 0; number < 600; ++number)
            m_vms.push_back(vm(number, VmState::Live));
        table.apply({ 1, m_vms }, start);
    }

    void setZoneState(const std::string &zone, VmState state, TimePoint now)
    {
        VmChanges changes { ++m_version, {} };
        for (Vm &vm : m_vms) {
            if (vm.availabilityZone != zone)
                continue;
            vm.state = state;
            changes.vms.push_back(vm);
        }
        table.apply(changes, now);
    }

    void remove(const std::string &upstream)
    {
        Vm vm = table.findUpstream(upstream)->vm;
        vm.state = VmState::Gone;
        table.apply({ ++m_version, { vm } }, start);
    }

    void report(const AgentSubset &subset, TimePoint now)
    {
        for (const std::string &upstream : subset.watched()) {
            LoadReport report;
            report.upstream = upstream;
            report.incarnation = 1;
            report.sequence = ++m_sequence;
            report.models = { models[std::stoul(upstream.substr(1)) % models.size()] };
            table.observeReport(report, now);
        }
    }

    void updateUntilStable(AgentSubset &subset, TimePoint now)
    {
        for (int round = 0; round < 10; ++round) {
            subset.update(table, models, now);
            report(subset, now);
        }
        subset.update(table, models, now);
    }

    MemberTable table;

private:
    static Vm vm(int number, VmState state)
    {
        const std::string name = "u" + std::to_string(number);
        const int zone = number / 100;
        return { .name = "vm-" + name,
                 .role = "agent",
                 .address = name + ":1",
                 .datagramAddress = name + ":2",
                 .upstream = name,
                 .region = zone < 3 ? "near" : "far",
                 .availabilityZone = "z" + std::to_string(zone),
                 .state = state };
    }

    std::vector<Vm> m_vms;
    std::int64_t m_version { 1 };
    std::int64_t m_sequence { 0 };
};

std::size_t countServing(const AgentSubset &subset, const std::string &model, Distance distance)
{
    const auto &members = subset.members(model);
    return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(), [distance](const SubsetMember &member) {
                return member.serving && member.distance == distance;
            }));
}

std::set<std::string> servingUpstreams(const AgentSubset &subset)
{
    std::set<std::string> names;
    for (const SubsetMember &member : subset.members("m0")) {
        if (member.serving)
            names.insert(member.upstream);
    }
    return names;
}

} // namespace

// Guards against an entry that knows only agents of its own availability zone when that zone fails,
// and against one that keeps using agents of other zones and regions after the zone has recovered.
BOOST_AUTO_TEST_CASE(subset_refills_after_loss_and_return_of_a_zone)
{
    Fleet fleet;
    AgentSubset subset("e1", "near", "z0", twoModelSettings);
    fleet.updateUntilStable(subset, start);
    BOOST_TEST(countServing(subset, "m0", Distance::SameZone) == 32u);
    BOOST_TEST(countServing(subset, "m0", Distance::SameRegion) == 12u);
    BOOST_TEST(countServing(subset, "m0", Distance::OtherRegion) == 4u);
    const std::set<std::string> before = servingUpstreams(subset);

    fleet.setZoneState("z0", VmState::Gone, start);
    subset.update(fleet.table, models, start);
    BOOST_TEST(countServing(subset, "m0", Distance::SameZone) == 0u);
    BOOST_TEST(countServing(subset, "m0", Distance::SameRegion) > 0u);
    fleet.updateUntilStable(subset, start);
    BOOST_TEST(servingUpstreams(subset).size() == 48u);

    fleet.setZoneState("z0", VmState::Live, start + Seconds(60));
    fleet.updateUntilStable(subset, start + Seconds(60));
    BOOST_TEST((servingUpstreams(subset) == before));
}

// Guards against the replacement of one VM changing the whole subset, whose load reports would be
// lost.
BOOST_AUTO_TEST_CASE(subset_is_stable_under_churn)
{
    Fleet fleet;
    AgentSubset subset("e1", "near", "z0", twoModelSettings);
    fleet.updateUntilStable(subset, start);
    const std::set<std::string> before = servingUpstreams(subset);
    fleet.remove(*before.begin());
    fleet.updateUntilStable(subset, start);
    std::set<std::string> kept;
    const std::set<std::string> after = servingUpstreams(subset);
    std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                          std::inserter(kept, kept.end()));
    BOOST_TEST(kept.size() == 47u);
    BOOST_TEST(after.size() == 48u);
}

// Guards against entries that all select the same agents and overload them.
BOOST_AUTO_TEST_CASE(entries_spread_over_agents)
{
    Fleet fleet;
    std::map<std::string, int> entriesPerAgent;
    for (int number = 0; number < 30; ++number) {
        AgentSubset subset("e" + std::to_string(number), "near", "z0", twoModelSettings);
        fleet.updateUntilStable(subset, start);
        for (const SubsetMember &member : subset.members("m0"))
            entriesPerAgent[member.upstream] += member.distance == Distance::SameZone ? 1 : 0;
    }
    int maximumEntries = 0;
    for (const auto &[upstream, count] : entriesPerAgent)
        maximumEntries = std::max(maximumEntries, count);
    BOOST_TEST(maximumEntries <= 30);
    BOOST_TEST(std::count_if(entriesPerAgent.begin(), entriesPerAgent.end(),
                             [](const auto &agent) { return agent.second > 0; })
               == 50);
}

// Guards against control traffic that grows with the number of models or of watched agents.
BOOST_AUTO_TEST_CASE(watched_agents_stay_within_the_traffic_budget)
{
    Fleet fleet;
    AgentSubset subset("e1", "near", "z0");
    fleet.updateUntilStable(subset, start);
    BOOST_TEST(subset.watched().size() <= 48u);
    constexpr double bytesPerReport = 150;
    for (const std::size_t watched : { 1u, 9u, 27u, 48u }) {
        const double seconds = std::chrono::duration<double>(reportIntervalFor(watched)).count();
        BOOST_TEST(static_cast<double>(watched) * bytesPerReport / seconds <= 1'301);
        BOOST_TEST(seconds >= 1);
    }
}

// Guards against gossip that always selects the same peer, or this entry itself.
BOOST_AUTO_TEST_CASE(gossip_reaches_every_peer)
{
    MemberTable table;
    VmChanges changes { 1, {} };
    for (int number = 0; number < 5; ++number)
        changes.vms.push_back({ .name = "e" + std::to_string(number),
                                .role = "entry",
                                .address = "a",
                                .datagramAddress = "d" });
    table.apply(changes, start);
    GossipSchedule schedule("e0");
    SeededRandom random(1);
    std::set<std::string> peers;
    int gossipCount = 0;
    for (int step = 0; step < 1'000; ++step) {
        const auto peer = schedule.nextPeer(table, start + Milliseconds(100 * step), random);
        gossipCount += peer ? 1 : 0;
        if (peer)
            peers.insert(peer->name);
    }
    BOOST_TEST(peers.size() == 4u);
    BOOST_TEST(!peers.contains("e0"));
    BOOST_TEST(gossipCount >= 85);
    BOOST_TEST(gossipCount <= 110);
}
