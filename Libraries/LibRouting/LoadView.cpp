#include "lavenderpick/Routing/LoadView.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// Short prompts alone rarely fill more of an engine's KV memory.
constexpr double longMemoryShare = 0.3;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

// Takes the work that the engine did between `from` and `to` off a backlog.
void drain(double &backlogSeconds, TimePoint from, TimePoint to)
{
    backlogSeconds = std::max(0.0, backlogSeconds - secondsBetween(from, to));
}

} // namespace

void LoadView::observeReport(const LoadReport &report, TimePoint now)
{
    State &state = m_states[report.upstream];
    if (state.reported
        && std::pair(report.incarnation, report.sequence)
                <= std::pair(state.report.incarnation, state.report.sequence))
        return;
    if (state.reported && report.incarnation > state.report.incarnation)
        state.sent.clear(); // A restarted agent has none of the attempts of before.
    state.report = report;
    state.reported = true;
    state.asOf = now - Milliseconds(report.ageMilliseconds);
    const std::string &model = report.models.empty() ? report.upstream : report.models.front();
    const double perToken = m_costModel.backlogSecondsPerToken(report.upstream, model);
    const std::int64_t shortBacklog = report.shortBacklog < 0
            ? report.prefillBacklog
            : std::min(report.shortBacklog, report.prefillBacklog);
    recordOccupancy(report, shortBacklog);
    state.totalBacklogSeconds = perToken * static_cast<double>(report.prefillBacklog);
    state.shortBacklogSeconds = perToken * static_cast<double>(shortBacklog);
}

void LoadView::recordSent(const std::string &upstream, const std::string &attemptId,
                          const PredictedCost &cost, bool shortPrompt, TimePoint now)
{
    m_states[upstream].sent.push_back({ attemptId, cost, now, shortPrompt });
}

void LoadView::recordOccupancy(const LoadReport &report, std::int64_t shortBacklog)
{
    constexpr double memoryReports = 60; // Of each upstream; long prompts take tens of seconds.
    const bool prefills = report.prefillBacklog > shortBacklog;
    const bool holds = static_cast<double>(report.kvTokensInUse)
            > longMemoryShare * static_cast<double>(report.kvCapacity);
    const double learned = 1 / (memoryReports * static_cast<double>(m_states.size()));
    m_longOccupancy += learned * ((prefills || holds ? 1.0 : 0.0) - m_longOccupancy);
    m_shortOccupancy += learned * ((shortBacklog > 0 ? 1.0 : 0.0) - m_shortOccupancy);
}

std::deque<LoadView::Sent>::iterator LoadView::find(State &state, const std::string &attemptId)
{
    return std::find_if(state.sent.begin(), state.sent.end(),
                        [&attemptId](const Sent &sent) { return sent.attemptId == attemptId; });
}

void LoadView::recordFirstToken(const std::string &upstream, const std::string &attemptId)
{
    const auto state = m_states.find(upstream);
    if (state == m_states.end())
        return;
    const auto sent = find(state->second, attemptId);
    if (sent != state->second.sent.end())
        sent->prefilled = true;
}

void LoadView::recordFinished(const std::string &upstream, const std::string &attemptId)
{
    const auto state = m_states.find(upstream);
    if (state == m_states.end())
        return;
    const auto sent = find(state->second, attemptId);
    if (sent != state->second.sent.end())
        state->second.sent.erase(sent);
}

UpstreamLoad LoadView::load(const std::string &upstream, TimePoint now) const
{
    const auto found = m_states.find(upstream);
    if (found == m_states.end())
        return {};
    const State &state = found->second;
    UpstreamLoad load {
        .known = state.reported,
        .accepting = state.reported && state.report.accepting,
        .kvFree = state.report.kvCapacity - state.report.kvTokensInUse,
        .kvCapacity = state.report.kvCapacity,
        .shortWaitSeconds = state.shortBacklogSeconds,
        .totalWaitSeconds = state.totalBacklogSeconds,
        .requests = state.report.running + state.report.waiting,
        .ownRequests = static_cast<std::int64_t>(state.sent.size()),
        .stepSeconds = static_cast<double>(state.report.stepMicroseconds) * 1e-6,
    };
    // Attempts are in the order of sending, so that the backlog drains between them.
    TimePoint at = state.asOf;
    for (const Sent &sent : state.sent) {
        if (sent.at <= state.asOf)
            continue; // The report includes it.
        load.kvFree -= sent.cost.kvTokenCount;
        ++load.requests;
        if (sent.prefilled)
            continue;
        drain(load.totalWaitSeconds, at, sent.at);
        drain(load.shortWaitSeconds, at, sent.at);
        at = sent.at;
        load.totalWaitSeconds += sent.cost.prefillSeconds;
        if (sent.shortPrompt)
            load.shortWaitSeconds += sent.cost.prefillSeconds;
    }
    drain(load.totalWaitSeconds, at, now);
    drain(load.shortWaitSeconds, at, now);
    return load;
}

void LoadView::forget(const std::string &upstream)
{
    m_states.erase(upstream);
}

} // namespace Lavenderpick
