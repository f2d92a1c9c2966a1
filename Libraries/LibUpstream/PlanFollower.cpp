#include "lavenderpick/Upstream/PlanFollower.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

std::string_view toString(PlanAction action)
{
    switch (action) {
    case PlanAction::Serve:
        return "serve";
    case PlanAction::Stop:
        return "stop";
    case PlanAction::Move:
        return "move";
    }
    return "serve";
}

UpstreamPlan UpstreamPlan::parse(const nlohmann::json &json, std::int64_t epoch)
{
    UpstreamPlan plan { .to = optionalString(json, "to", ""),
                        .by = optionalInteger(json, "by", 0),
                        .epoch = epoch };
    const std::string action = requireString(json, "action");
    for (const PlanAction known : { PlanAction::Serve, PlanAction::Stop, PlanAction::Move }) {
        if (toString(known) == action) {
            plan.action = known;
            return plan;
        }
    }
    throw Error(ErrorKind::InvalidMessage, "A plan's action is '" + action + "'",
                "Use serve, stop or move.");
}

bool PlanFollower::apply(const UpstreamPlan &plan)
{
    if (plan.epoch < m_plan.epoch)
        return false;
    m_plan = plan;
    return true;
}

bool PlanFollower::accepts() const
{
    return m_plan.action == PlanAction::Serve && !m_terminating;
}

bool PlanFollower::isDrained(std::size_t openRequests) const
{
    return !accepts() && openRequests == 0;
}

bool PlanFollower::graceEnded(std::int64_t wallSeconds) const
{
    return m_plan.action != PlanAction::Serve && m_plan.by > 0 && wallSeconds >= m_plan.by;
}

} // namespace Lavenderpick
