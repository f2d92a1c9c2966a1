#include "lavenderpick/Membership/AgentSubset.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace Lavenderpick {

namespace {

// Older reports no longer tell which models an agent serves, since it may have changed them while
// it was not watched.
constexpr Duration reportedModelsLifetime = Seconds(600);

std::uint64_t rendezvousWeight(std::uint64_t seed, const std::string &upstream)
{
    return XXH3_64bits_withSeed(upstream.data(), upstream.size(), seed);
}

} // namespace

struct AgentSubset::RankedAgent
{
    Distance distance;
    std::uint64_t weight;
    const Member *member;
    bool serving;
};

AgentSubset::AgentSubset(std::string entry, std::string region, std::string availabilityZone,
                         const AgentSubsetSettings &settings)
    : m_entry(std::move(entry))
    , m_region(std::move(region))
    , m_availabilityZone(std::move(availabilityZone))
    , m_settings(settings)
{ }

Distance AgentSubset::distanceTo(const Vm &vm) const
{
    if (vm.region != m_region)
        return Distance::OtherRegion;
    return vm.availabilityZone == m_availabilityZone ? Distance::SameZone : Distance::SameRegion;
}

std::vector<AgentSubset::RankedAgent>
AgentSubset::rankAgents(const MemberTable &table, const std::string &model, TimePoint now) const
{
    const std::string seedText = m_entry + '\0' + model;
    const std::uint64_t seed = XXH3_64bits(seedText.data(), seedText.size());
    std::vector<RankedAgent> ranked;
    for (const auto &[name, member] : table.members()) {
        if (member.vm.upstream.empty())
            continue;
        const Liveness liveness = table.liveness(member, now);
        if (liveness == Liveness::Gone || liveness == Liveness::Leaving)
            continue;
        const bool modelsKnown =
                !member.models.empty() && now - member.lastReportAt < reportedModelsLifetime;
        const bool serving = modelsKnown
                && std::find(member.models.begin(), member.models.end(), model)
                        != member.models.end();
        if (modelsKnown && !serving)
            continue;
        ranked.push_back({ distanceTo(member.vm), rendezvousWeight(seed, member.vm.upstream),
                           &member, serving });
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedAgent &left, const RankedAgent &right) {
        return std::tie(left.distance, left.weight, left.member->vm.name)
                < std::tie(right.distance, right.weight, right.member->vm.name);
    });
    return ranked;
}

std::vector<SubsetMember> AgentSubset::selectAgents(const std::vector<RankedAgent> &ranked,
                                                    std::size_t size) const
{
    const auto slotsFor = [size](double share) {
        return static_cast<std::size_t>(std::ceil(static_cast<double>(size) * share));
    };
    std::array<std::size_t, 3> available {};
    for (const RankedAgent &agent : ranked)
        ++available[static_cast<std::size_t>(agent.distance)];
    std::array<std::size_t, 3> slots {
        0, std::min(slotsFor(m_settings.sameRegionShare), available[1]),
        std::min(slotsFor(m_settings.otherRegionShare), available[2])
    };
    std::size_t unassignedSlots = size - std::min(size, slots[1] + slots[2]);
    for (std::size_t distance = 0; distance < 3; ++distance) {
        const std::size_t additionalSlots =
                std::min(unassignedSlots, available[distance] - slots[distance]);
        slots[distance] += additionalSlots;
        unassignedSlots -= additionalSlots;
    }

    // Suspect agents stay in the subset, since only watched agents send reports, which show
    // recovery.
    std::vector<SubsetMember> selected;
    std::size_t probeCount = 0;
    for (const RankedAgent &agent : ranked) {
        std::size_t &remainingSlots = slots[static_cast<std::size_t>(agent.distance)];
        if (remainingSlots == 0 || (!agent.serving && probeCount >= m_settings.maximumProbes))
            continue;
        if (agent.serving)
            --remainingSlots;
        else
            ++probeCount;
        selected.push_back({ agent.member->vm.upstream, agent.distance, agent.serving });
    }
    return selected;
}

void AgentSubset::update(MemberTable &table, const std::vector<std::string> &models, TimePoint now)
{
    m_members.clear();
    std::set<std::string> watched;
    const std::size_t size = std::max(m_settings.minimumSizePerModel,
                                      m_settings.size / std::max<std::size_t>(1, models.size()));
    for (const std::string &model : models) {
        std::vector<SubsetMember> selected = selectAgents(rankAgents(table, model, now), size);
        for (const SubsetMember &member : selected)
            watched.insert(member.upstream);
        m_members[model] = std::move(selected);
    }
    for (const std::string &upstream : m_watched) {
        if (!watched.contains(upstream))
            table.setWatched(upstream, false, now);
    }
    for (const std::string &upstream : watched)
        table.setWatched(upstream, true, now);
    m_watched = std::move(watched);
}

const std::vector<SubsetMember> &AgentSubset::members(const std::string &model) const
{
    static const std::vector<SubsetMember> noMembers;
    const auto found = m_members.find(model);
    return found == m_members.end() ? noMembers : found->second;
}

} // namespace Lavenderpick
