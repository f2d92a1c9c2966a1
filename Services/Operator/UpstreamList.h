#pragma once

#include "Services/Operator/OperatorSession.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderpick {

/// One upstream as the platform, the document and its agent show it.
struct UpstreamState
{
    std::string name;
    std::string agentAddress {}; ///< Empty when the VM list shows no agent.
    std::string vmState {};      ///< `live`, `leaving`, `gone` or `unlisted`.
    PlanEntry plan {};
    std::int64_t epoch { 0 }; ///< 0 without a plan.

    /// What the agent says: `serving`, `draining`, `drained`, or `unknown` when it was not asked,
    /// did not respond, or has not seen the plan yet.
    std::string agentState { "unknown" };

    nlohmann::json toJson() const;
    std::string toText() const;
};

/// All upstreams of the VM list and of the plans, by name.
std::map<std::string, UpstreamState> listUpstreams(const Document &document, VmList &vmList);

/// Asks the agents, several at a time, for the state of each of these upstreams.
void askAgents(OperatorSession &session, std::vector<UpstreamState> &upstreams);

/// The agent's state according to its `GET /internal/status`.
std::string agentStateOf(const nlohmann::json &status, std::int64_t epoch);

} // namespace Lavenderpick
