#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderpick {

enum class PlanAction {
    Serve,
    Stop,
    Move,
};

std::string_view toString(PlanAction action);

/// An upstream's entry in the document's section `plans`.
struct UpstreamPlan
{
    PlanAction action { PlanAction::Serve };
    std::string to {};        ///< Move: who takes the upstream over.
    std::int64_t by { 0 };    ///< End of the grace period, Unix seconds; 0: none.
    std::int64_t epoch { 0 }; ///< Document version of the entry.

    bool operator==(const UpstreamPlan &) const = default;

    /// Throws `Error` of kind InvalidMessage.
    static UpstreamPlan parse(const nlohmann::json &json, std::int64_t epoch);
};

/// Follows the plan of one upstream (O2, O3, O6). Performs no I/O and is not safe for concurrent
/// use.
class PlanFollower
{
public:
    /// Returns whether the plan is in force; one with a lower epoch is ignored.
    bool apply(const UpstreamPlan &plan);

    /// The process was told to terminate: as a stop that no later plan reverts.
    void terminate() { m_terminating = true; }

    bool accepts() const;

    /// Whether nothing runs any more under a plan to leave.
    bool isDrained(std::size_t openRequests) const;

    /// Whether the grace period of a stop or move has ended: streams that still run are to be
    /// resumed elsewhere.
    bool graceEnded(std::int64_t wallSeconds) const;

    const UpstreamPlan &plan() const { return m_plan; }

private:
    UpstreamPlan m_plan;
    bool m_terminating { false };
};

} // namespace Lavenderpick
