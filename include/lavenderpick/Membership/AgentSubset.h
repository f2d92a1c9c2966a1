#pragma once

#include "lavenderpick/Membership/MemberTable.h"

#include <set>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Location of an upstream relative to this process.
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
    /// False while the agent's models are unknown: not reported yet, or reported too long ago.
    bool serving { false };

    bool operator==(const SubsetMember &) const = default;
};

struct AgentSubsetSettings
{
    /// Serving agents watched for all models and services together, since each watched agent costs
    /// datagrams, whatever it serves.
    std::size_t size { 48 };
    /// For each model or service, even if the total then exceeds `size`.
    std::size_t minimumSizePerModel { 8 };
    /// Shares of a subset reserved for the rest of the region and for other regions, so that
    /// candidates are known when the own availability zone is lost. Reserved slots that can't be
    /// filled go to the nearest agents.
    double sameRegionShare { 0.25 };
    double otherRegionShare { 1.0 / 12 };
    /// Agents that one model or service watches at once to learn which models they serve.
    std::size_t maximumProbes { 48 };
};

/// Selects the agents that one entry watches and routes to, for each model or service. Not safe for
/// concurrent use.
///
/// Agents at the same distance are ordered by a rendezvous hash of entry, model and upstream, so
/// that the replacement of a VM changes one slot and the entries spread over the agents.
class AgentSubset
{
public:
    AgentSubset(std::string entry, std::string region, std::string availabilityZone,
                const AgentSubsetSettings &settings = {});

    /// Recomputes the subsets of `models`, which may also name services, and sets in `table` which
    /// agents are watched. Call after a change of the VM list and every few seconds.
    void update(MemberTable &table, const std::vector<std::string> &models, TimePoint now);

    /// Agents of the model or service, nearest first; empty if it is unknown.
    const std::vector<SubsetMember> &members(const std::string &model) const;

    /// Upstreams of all subsets; the agent of each one gets a `subscribe` datagram.
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
