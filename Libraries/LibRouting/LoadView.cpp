#include "lavenderpick/Routing/LoadView.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// Share of an engine's KV memory that short prompts alone rarely exceed.
constexpr double longPromptMemoryThreshold = 0.3;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

// Subtracts the work that the engine did between `from` and `to` from a backlog.
void drainBacklog(double &backlogSeconds, TimePoint from, TimePoint to)
{
    backlogSeconds = std::max(0.0, backlogSeconds - secondsBetween(from, to));
}

} // namespace

void LoadView::observeReport(const LoadReport &report, TimePoint now)
{
    UpstreamState &state = m_upstreams[report.upstream];
    if (state.hasReport
        && std::pair(report.incarnation, report.sequence)
                <= std::pair(state.report.incarnation, state.report.sequence))
        return;
    if (state.hasReport && report.incarnation > state.report.incarnation)
        state.attempts.clear(); // A restarted agent has none of the earlier attempts.
    state.report = report;
    state.hasReport = true;
    state.measuredAt = now - Milliseconds(report.ageMilliseconds);
    const std::string &model = report.models.empty() ? report.upstream : report.models.front();
    const double perToken = m_costModel.backlogSecondsPerToken(report.upstream, model);
    const std::int64_t shortBacklog = report.shortBacklog < 0
            ? report.prefillBacklog
            : std::min(report.shortBacklog, report.prefillBacklog);
    recordOccupancy(report, shortBacklog);
    state.totalBacklogSeconds = perToken * static_cast<double>(report.prefillBacklog);
    state.shortPromptBacklogSeconds = perToken * static_cast<double>(shortBacklog);
}

void LoadView::recordSent(const std::string &upstream, const std::string &attemptId,
                          const PredictedCost &cost, bool shortPrompt, TimePoint now)
{
    m_upstreams[upstream].attempts.push_back({ attemptId, cost, now, shortPrompt });
}

void LoadView::recordOccupancy(const LoadReport &report, std::int64_t shortBacklog)
{
    constexpr double averagedReports = 60; // Per upstream; long prompts take tens of seconds.
    const bool hasLongPromptBacklog = report.prefillBacklog > shortBacklog;
    const bool hasLongPromptMemoryUse = static_cast<double>(report.kvTokensInUse)
            > longPromptMemoryThreshold * static_cast<double>(report.kvCapacity);
    const double sampleWeight = 1 / (averagedReports * static_cast<double>(m_upstreams.size()));
    m_longPromptOccupancy += sampleWeight
            * ((hasLongPromptBacklog || hasLongPromptMemoryUse ? 1.0 : 0.0)
               - m_longPromptOccupancy);
    m_shortPromptOccupancy +=
            sampleWeight * ((shortBacklog > 0 ? 1.0 : 0.0) - m_shortPromptOccupancy);
}

std::deque<LoadView::SentAttempt>::iterator LoadView::findAttempt(UpstreamState &state,
                                                                  const std::string &attemptId)
{
    return std::find_if(
            state.attempts.begin(), state.attempts.end(),
            [&attemptId](const SentAttempt &attempt) { return attempt.attemptId == attemptId; });
}

void LoadView::recordFirstToken(const std::string &upstream, const std::string &attemptId)
{
    const auto state = m_upstreams.find(upstream);
    if (state == m_upstreams.end())
        return;
    const auto attempt = findAttempt(state->second, attemptId);
    if (attempt != state->second.attempts.end())
        attempt->prefilled = true;
}

void LoadView::recordFinished(const std::string &upstream, const std::string &attemptId)
{
    const auto state = m_upstreams.find(upstream);
    if (state == m_upstreams.end())
        return;
    const auto attempt = findAttempt(state->second, attemptId);
    if (attempt != state->second.attempts.end())
        state->second.attempts.erase(attempt);
}

UpstreamLoad LoadView::load(const std::string &upstream, TimePoint now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return {};
    const UpstreamState &state = found->second;
    UpstreamLoad load {
        .known = state.hasReport,
        .accepting = state.hasReport && state.report.accepting,
        .kvFree = state.report.kvCapacity - state.report.kvTokensInUse,
        .kvCapacity = state.report.kvCapacity,
        .shortPromptWaitSeconds = state.shortPromptBacklogSeconds,
        .totalWaitSeconds = state.totalBacklogSeconds,
        .requests = state.report.running + state.report.waiting,
        .ownRequests = static_cast<std::int64_t>(state.attempts.size()),
        .stepSeconds = static_cast<double>(state.report.stepMicroseconds) * 1e-6,
    };
    // The attempts are in the order of sending, so the backlog drains between them.
    TimePoint drainedUntil = state.measuredAt;
    for (const SentAttempt &attempt : state.attempts) {
        if (attempt.sentAt <= state.measuredAt)
            continue; // Included in the report.
        load.kvFree -= attempt.cost.kvTokenCount;
        ++load.requests;
        if (attempt.prefilled)
            continue;
        drainBacklog(load.totalWaitSeconds, drainedUntil, attempt.sentAt);
        drainBacklog(load.shortPromptWaitSeconds, drainedUntil, attempt.sentAt);
        drainedUntil = attempt.sentAt;
        load.totalWaitSeconds += attempt.cost.prefillSeconds;
        if (attempt.shortPrompt)
            load.shortPromptWaitSeconds += attempt.cost.prefillSeconds;
    }
    drainBacklog(load.totalWaitSeconds, drainedUntil, now);
    drainBacklog(load.shortPromptWaitSeconds, drainedUntil, now);
    return load;
}

void LoadView::forget(const std::string &upstream)
{
    m_upstreams.erase(upstream);
}

} // namespace Lavenderpick
