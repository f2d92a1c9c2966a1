#include "FaultMatrix/Faults.h"

#include "lavenderpick/Base/Error.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace Lavenderpick::FaultMatrix {

namespace {

constexpr std::array<const char *, faultCount> faultNames {
    "kill-before", "kill-after", "freeze",   "silent",     "lost",       "answer-lost", "late",
    "crossed",     "duplicated", "repeated", "store-down", "store-slow", "engine-died", "race",
};

constexpr Seconds storeTimeout { 2 };
constexpr Seconds silenceTimeout { 3 };

} // namespace

std::string toString(Fault fault)
{
    return faultNames[static_cast<std::size_t>(fault)];
}

Fault parseFault(const std::string &name)
{
    const auto *position = std::find(faultNames.begin(), faultNames.end(), name);
    if (position == faultNames.end())
        throw std::invalid_argument("'" + name + "' is not a fault");
    return static_cast<Fault>(position - faultNames.begin());
}

bool isApplicable(Fault fault, StepKind kind)
{
    switch (fault) {
    case Fault::StoreDown:
    case Fault::StoreSlow:
        return kind == StepKind::StoreRead || kind == StepKind::StoreWrite;
    case Fault::EngineDied:
        return kind == StepKind::Service;
    case Fault::Repeated:
        // A plain service can't tell a repeated message; the agent's TCP connection must not
        // repeat.
        return kind == StepKind::Message || kind == StepKind::StoreWrite;
    case Fault::KillAfter:
    case Fault::AnswerLost:
    case Fault::Late:
    case Fault::Crossed:
        return kind != StepKind::StoreRead; // A read has no effect that could come late.
    default:
        return true;
    }
}

std::string toString(const Plan &plan)
{
    std::string text;
    for (const PlannedFault &planned : plan)
        text += (text.empty() ? "" : " ") + std::to_string(planned.step) + ":"
                + toString(planned.fault);
    return text;
}

Injector::Injector(ManualClock &clock, Plan plan)
    : m_clock(clock)
    , m_plan(std::move(plan))
{ }

void Injector::quietly(const std::function<void()> &code)
{
    ++m_quiet;
    try {
        code();
    } catch (...) {
        --m_quiet;
        throw;
    }
    --m_quiet;
}

void Injector::recover()
{
    m_storeDown = false;
    m_storeSlow = false;
    arrive(m_crossed);
    arrive(m_late);
}

bool Injector::has(Fault fault) const
{
    return std::any_of(m_plan.begin(), m_plan.end(),
                       [fault](const PlannedFault &planned) { return planned.fault == fault; });
}

void Injector::arrive(std::vector<Effect> &effects)
{
    std::vector<Effect> arriving;
    arriving.swap(effects);
    for (const Effect &effect : arriving) {
        try {
            quietly(effect);
        } catch (const Error &) {
            // Nobody waits for the answer any more.
        }
    }
}

void Injector::runStep(StepKind kind, const Effect &effect, const Effect &lateEffect)
{
    const int step = steps();
    m_kinds.push_back(kind);
    std::vector<Effect> crossed;
    crossed.swap(m_crossed);
    try {
        const auto planned = std::find_if(m_plan.begin(), m_plan.end(), [&](const auto &candidate) {
            return candidate.step == step && isApplicable(candidate.fault, kind);
        });
        if (planned == m_plan.end()) {
            runPlain(kind, effect);
        } else {
            runFault(planned->fault, kind, effect, lateEffect);
        }
    } catch (...) {
        arrive(crossed);
        throw;
    }
    arrive(crossed);
}

void Injector::runPlain(StepKind kind, const Effect &effect)
{
    const bool isStore = kind == StepKind::StoreRead || kind == StepKind::StoreWrite;
    if (isStore && m_storeDown)
        throw Error(ErrorKind::StoreUnavailable, "The store is down", "Try again later.");
    effect();
    if (isStore && m_storeSlow) {
        m_clock.advance(storeTimeout);
        loseAnswer(kind);
    }
}

void Injector::runFault(Fault fault, StepKind kind, const Effect &effect, const Effect &lateEffect)
{
    switch (fault) {
    case Fault::KillBefore:
        throw ProcessKilled();
    case Fault::KillAfter:
        runPlain(kind, effect);
        throw ProcessKilled();
    case Fault::Freeze:
        quietly(whileFrozen);
        runPlain(kind, effect);
        return;
    case Fault::Silent:
        m_clock.advance(kind == StepKind::StoreRead || kind == StepKind::StoreWrite
                                ? storeTimeout
                                : silenceTimeout);
        loseAnswer(kind);
    case Fault::Lost:
        loseAnswer(kind);
    case Fault::AnswerLost:
    case Fault::EngineDied:
        runPlain(kind, effect);
        loseAnswer(kind);
    case Fault::Late:
        m_late.push_back(lateEffect);
        loseAnswer(kind);
    case Fault::Crossed:
        m_crossed.push_back(lateEffect);
        loseAnswer(kind);
    case Fault::Duplicated:
        quietly(redeliver);
        runPlain(kind, effect);
        return;
    case Fault::Repeated:
        m_late.push_back(lateEffect);
        runPlain(kind, effect);
        return;
    case Fault::StoreDown:
        m_storeDown = true;
        runPlain(kind, effect);
        return;
    case Fault::StoreSlow:
        m_storeSlow = true;
        runPlain(kind, effect);
        return;
    case Fault::Race:
        quietly(race);
        runPlain(kind, effect);
        return;
    }
}

void Injector::loseAnswer(StepKind kind)
{
    if (kind == StepKind::StoreRead)
        throw Error(ErrorKind::StoreUnavailable, "The store did not answer", "Try again later.");
    if (kind == StepKind::StoreWrite)
        throw Error(ErrorKind::StoreOutcomeUnknown, "The answer was lost", "Read the row.");
    throw Error(ErrorKind::UpstreamFailed, "The answer was lost", "Settle the call.");
}

} // namespace Lavenderpick::FaultMatrix
