#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Document/Entries.h"

#include <cstdint>
#include <string>

namespace Lavenderpick {

/// What an upstream becomes under a plan to move it.
struct MoveTarget
{
    std::string model {}; ///< Set for `model:<name>`.
    std::string role {};  ///< Set for `role:<name>`.
    bool otherFirm { false };

    bool operator==(const MoveTarget &) const = default;

    /// Anything else than a model or role counts as another firm, which gets the upstream empty.
    static MoveTarget parse(const std::string &to);
};

/// Follows the plan of one upstream (O2, O3, O6). Performs no I/O and is not safe for concurrent
/// use.
class PlanFollower
{
public:
    /// Returns whether the plan is new and in force now; one whose epoch is not higher is ignored.
    bool apply(const PlanEntry &plan, std::int64_t epoch, TimePoint now);

    /// The process was told to terminate: as a stop that no later plan reverts.
    void terminate() { m_terminating = true; }
    bool isTerminating() const { return m_terminating; }

    /// The engine has become what the plan moves it to; it serves again under the same plan.
    void moveCompleted() { m_moved = m_plan.action == PlanAction::Move; }

    bool accepts() const;

    /// Whether nothing runs any more under a plan to leave.
    bool isDrained(std::size_t openRequests) const;

    /// Whether the grace period of a stop or move has ended: streams that still run are to be
    /// resumed elsewhere.
    bool graceEnded(TimePoint now) const;

    /// Whether the upstream is being handed to another firm, whose work must not be touched.
    bool leavesFirm() const;

    const PlanEntry &plan() const { return m_plan; }
    std::int64_t epoch() const { return m_epoch; }

private:
    PlanEntry m_plan;
    std::int64_t m_epoch { -1 };
    TimePoint m_since {};
    bool m_moved { false };
    bool m_terminating { false };
};

} // namespace Lavenderpick
