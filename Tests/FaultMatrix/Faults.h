#pragma once

#include "lavenderpick/Base/Clock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick::FaultMatrix {

/// What can go wrong at one step. A step is one operation on the store, an object, a message to
/// another process or to a service.
enum class Fault {
    KillBefore, ///< The process dies before the operation.
    KillAfter,  ///< The process dies after the operation took effect.
    Freeze,     ///< The process stands still past its leases and deadlines, then goes on.
    Silent,     ///< The connection goes silent: the operation never happens and times out.
    Lost,       ///< The message is lost before it takes effect; the sender learns at once.
    AnswerLost, ///< The operation takes effect; its answer is lost.
    Late,       ///< As lost to the sender, but it takes effect after all else is over.
    Crossed,    ///< As lost to the sender, but it takes effect after the following step.
    Duplicated, ///< The message under way arrives a second time at this step.
    Repeated,   ///< The message arrives again after all else is over.
    StoreDown,  ///< The store refuses everything from here until the run is over.
    StoreSlow,  ///< The store takes longer than its timeout from here until the run is over.
    EngineDied, ///< The engine or service dies while it works on the request.
    Race,       ///< An operator, a caller or another process acts in between.
};

constexpr int faultCount = static_cast<int>(Fault::Race) + 1;

std::string toString(Fault fault);
Fault parseFault(const std::string &name);

enum class StepKind {
    StoreRead,
    StoreWrite,
    Message, ///< Between processes of the system.
    Service, ///< To an engine or a plain service.
};

/// Whether the fault can occur at a step of this kind.
bool isApplicable(Fault fault, StepKind kind);

struct PlannedFault
{
    int step { 0 };
    Fault fault { Fault::Race };

    bool operator==(const PlannedFault &) const = default;
};

using Plan = std::vector<PlannedFault>;

std::string toString(const Plan &plan);

/// Thrown through a process's code when it is killed; caught where the process was entered.
struct ProcessKilled
{ };

/// Counts the steps of a run and makes each planned fault happen at its step.
class Injector
{
public:
    Injector(ManualClock &clock, Plan plan);

    /// What other processes do meanwhile; set by the scenario.
    std::function<void()> whileFrozen {};
    std::function<void()> race {};
    std::function<void()> redeliver {};

    /// Performs one step. Throws `ProcessKilled`, or `Error` of kind StoreUnavailable,
    /// StoreOutcomeUnknown or UpstreamFailed as the fault has it.
    template <typename Result>
    Result perform(StepKind kind, const std::function<Result()> &effect)
    {
        if (m_quiet > 0)
            return effect();
        std::optional<Result> result;
        runStep(
                kind, [&result, effect] { result = effect(); }, [effect] { effect(); });
        return std::move(*result);
    }

    /// Runs code whose steps are neither counted nor faulty.
    void quietly(const std::function<void()> &code);

    /// Ends the faults that last, and lets every late message arrive.
    void recover();

    int steps() const { return static_cast<int>(m_kinds.size()); }
    const std::vector<StepKind> &kinds() const { return m_kinds; }
    const Plan &planned() const { return m_plan; }
    bool has(Fault fault) const;

private:
    using Effect = std::function<void()>;

    void runStep(StepKind kind, const Effect &effect, const Effect &lateEffect);
    void runFault(Fault fault, StepKind kind, const Effect &effect, const Effect &lateEffect);
    void runPlain(StepKind kind, const Effect &effect);
    void arrive(std::vector<Effect> &effects);
    [[noreturn]] static void loseAnswer(StepKind kind);

    ManualClock &m_clock;
    Plan m_plan;
    std::vector<StepKind> m_kinds {};
    int m_quiet { 0 };
    bool m_storeDown { false };
    bool m_storeSlow { false };
    std::vector<Effect> m_crossed {};
    std::vector<Effect> m_late {};
};

} // namespace Lavenderpick::FaultMatrix
