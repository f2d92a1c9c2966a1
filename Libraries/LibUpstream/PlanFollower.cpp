#include "lavenderpick/Upstream/PlanFollower.h"

namespace Lavenderpick {

MoveTarget MoveTarget::parse(const std::string &to)
{
    const std::size_t colon = to.find(':');
    const std::string kind = to.substr(0, colon);
    const std::string name = colon == std::string::npos ? "" : to.substr(colon + 1);
    if (kind == "model" && !name.empty())
        return { .model = name };
    if (kind == "role" && !name.empty())
        return { .role = name };
    return { .otherFirm = true };
}

bool PlanFollower::apply(const PlanEntry &plan, std::int64_t epoch, TimePoint now)
{
    if (epoch <= m_epoch)
        return false;
    m_plan = plan;
    m_epoch = epoch;
    m_since = now;
    m_moved = false;
    return true;
}

bool PlanFollower::accepts() const
{
    return (m_plan.action == PlanAction::Serve || m_moved) && !m_terminating;
}

bool PlanFollower::isDrained(std::size_t openRequests) const
{
    return !accepts() && openRequests == 0;
}

bool PlanFollower::graceEnded(TimePoint now) const
{
    return m_plan.action != PlanAction::Serve && !m_moved && now - m_since >= m_plan.grace;
}

bool PlanFollower::leavesFirm() const
{
    return m_plan.action == PlanAction::Move && MoveTarget::parse(m_plan.to).otherFirm;
}

} // namespace Lavenderpick
