#pragma once

#include "lavenderpick/Membership/MemberTable.h"

#include <set>
#include <string>
#include <vector>

namespace Lavenderpick {

/// How far an upstream is from this process.
enum class Distance {
    SameZone,
    SameRegion,
    OtherRegion,
};

/// One agent of a subset.
struct SubsetMember
{
    std::string upstream;
    Distance distance { Distance::SameZone };
    bool serving { false }; ///< False while the agent has not reported its models yet.

    bool operator==(const SubsetMember &) const = default;
};

struct AgentSubsetSettings
{
    /// Agents watched in all. Models and services share them, since each watched agent costs
    /// datagrams whatever it serves.
    std::size_t size { 48 };
    std::size_t minimumSizePerModel { 8 }; ///< For one model or service, also when there are many.
    /// Shares kept for the rest of the region and for other regions, so that candidates are known
    /// when the own availability zone is lost. Places that stay empty go to the nearest agents.
    double sameRegionShare { 0.25 };
    double otherRegionShare { 1.0 / 12 };
    /// Agents watched at once to learn their models.
    std::size_t maximumProbes { 48 };
};

/// The agents that one entry watches and routes to, for each model or service. Not safe for
/// concurrent use.
///
/// The order within a distance is a rendezvous hash of entry, model and upstream: a change of one
/// VM replaces one place, and entries spread over the agents.
class AgentSubset
{
public:
    AgentSubset(std::string entry, std::string region, std::string availabilityZone,
                const AgentSubsetSettings &settings = {});

    /// Recomputes the subsets of `models`, watches and unwatches agents in `table`. Call after the
    /// list changed and every few seconds.
    void update(MemberTable &table, const std::vector<std::string> &models, TimePoint now);

    /// Agents of the model, nearest first; empty for an unknown model.
    const std::vector<SubsetMember> &members(const std::string &model) const;

    /// Upstream names over all models; each gets a `subscribe` datagram.
    const std::set<std::string> &watched() const { return m_watched; }

private:
    struct RankedAgent;

    std::vector<RankedAgent> rankAgents(const MemberTable &table, const std::string &model,
                                        TimePoint now) const;
    std::vector<SubsetMember> selectAgents(const std::vector<RankedAgent> &ranked,
                                           std::size_t size) const;
    Distance distanceTo(const Vm &vm) const;

    std::string m_entry;
    std::string m_region;
    std::string m_availabilityZone;
    AgentSubsetSettings m_settings;
    std::map<std::string, std::vector<SubsetMember>> m_members;
    std::set<std::string> m_watched;
};

} // namespace Lavenderpick
