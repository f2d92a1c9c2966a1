#include "lavenderpick/Forward/UpstreamRateLimits.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// Requests that may follow each other at once after a pause.
constexpr int burst = 2;
// A peer's datagram takes some milliseconds, and its event loop may be busy for longer.
constexpr Duration delayPerGateway { Milliseconds(20) };
constexpr Duration maximumDelay { Seconds(1) };
// An upstream that takes nothing at all is asked this often whether it still says so.
constexpr double minimumRate = 0.1;
// Open requests that a peer reports to a restarted gateway don't block it for longer.
constexpr Duration maximumDebt { Seconds(4) };

} // namespace

void UpstreamRateLimits::setGateways(std::size_t count, double reachableShare)
{
    m_gatewayCount = std::max<std::size_t>(1, count);
    m_reachableShare = reachableShare;
}

bool UpstreamRateLimits::recordNamed(const std::string &upstream, std::optional<double> limit,
                                     TimePoint now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() && !limit)
        return false;
    Entry &entry = m_entries[upstream];
    const bool isChange = entry.limit != limit;
    if (isChange && !entry.limit)
        entry.nextFree = now;
    entry.limit = limit;
    entry.namedAt = now;
    if (isChange || (limit && now - entry.reportedAt >= reportInterval))
        entry.reportDue = true;
    return isChange;
}

void UpstreamRateLimits::applyReport(const RateLimitReport &report, TimePoint now)
{
    const TimePoint namedAt = now - report.age;
    const auto found = m_entries.find(report.upstream);
    if (report.age >= confirmationTimeout || (found == m_entries.end() && !report.limit))
        return;
    if (found != m_entries.end() && found->second.namedAt >= namedAt)
        return;
    Entry &entry = m_entries[report.upstream];
    if (!entry.limit)
        entry.nextFree = now;
    entry.limit = report.limit;
    entry.namedAt = namedAt;
    entry.reportedAt = now;
    entry.reportDue = false;
}

Duration UpstreamRateLimits::interval(const Entry &entry) const
{
    const double rate = std::max(minimumRate, m_reachableShare * entry.limit.value_or(0));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
}

void UpstreamRateLimits::recordSent(const std::string &upstream, TimePoint now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || !found->second.limit)
        return;
    Entry &entry = found->second;
    const Duration step = interval(entry);
    // Places that were not used are not saved up beyond the burst.
    entry.nextFree = std::max(entry.nextFree, now - (burst - 1) * step) + step;
    entry.nextFree = std::min(entry.nextFree, now + std::max(step, maximumDebt));
    const Duration longest =
            std::min(maximumDelay, delayPerGateway * static_cast<int>(m_gatewayCount - 1));
    entry.ownDelay = std::chrono::duration_cast<Duration>(longest * m_random.unit());
}

std::optional<double> UpstreamRateLimits::limit(const std::string &upstream) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? std::nullopt : found->second.limit;
}

Duration UpstreamRateLimits::timeUntilAllowed(const std::string &upstream, TimePoint now) const
{
    const Duration turn = timeUntilNextTurn(upstream, now);
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || !found->second.limit)
        return turn;
    return std::max(turn, found->second.nextFree + found->second.ownDelay - now);
}

Duration UpstreamRateLimits::timeUntilNextTurn(const std::string &upstream, TimePoint now) const
{
    const auto found = m_cold.find(upstream);
    if (found == m_cold.end())
        return {};
    const ColdEntry &entry = found->second;
    const TimePoint until = entry.period.until;
    return std::max(Duration {}, (entry.hasTurns ? std::min(entry.nextTurn, until) : until) - now);
}

void UpstreamRateLimits::setCensus(const GatewayCensus &census, TimePoint now)
{
    if (census == m_share.census())
        return;
    m_share.setCensus(census);
    for (auto &[upstream, entry] : m_cold)
        setTurns(upstream, entry, now);
}

void UpstreamRateLimits::setCold(const std::string &upstream, const ColdPeriod &period,
                                 TimePoint now)
{
    if (period.requestsPerSecond <= 0) {
        setWarm(upstream);
        return;
    }
    ColdEntry &entry = m_cold[upstream];
    entry.period = period;
    setTurns(upstream, entry, now);
}

// A turn that was set before stays, so that no news makes this gateway send before it.
void UpstreamRateLimits::setTurns(const std::string &upstream, ColdEntry &entry,
                                  TimePoint now) const
{
    const auto turns = m_share.turns(upstream, entry.period.requestsPerSecond);
    if (turns && !entry.hasTurns)
        entry.nextTurn = std::max(
                entry.nextTurn, entry.period.timeOf(entry.period.allowedUpTo(now) + turns->first));
    entry.hasTurns = turns.has_value();
}

void UpstreamRateLimits::recordOwnSent(const std::string &upstream, TimePoint now)
{
    const auto found = m_cold.find(upstream);
    if (found == m_cold.end())
        return;
    ColdEntry &entry = found->second;
    const auto turns = m_share.turns(upstream, entry.period.requestsPerSecond);
    if (turns)
        entry.nextTurn = entry.period.timeOf(entry.period.allowedUpTo(now) + turns->spacing);
}

std::vector<RateLimitReport> UpstreamRateLimits::takeReports(TimePoint now)
{
    std::vector<RateLimitReport> reports;
    for (auto &[upstream, entry] : m_entries) {
        if (!entry.reportDue)
            continue;
        entry.reportDue = false;
        entry.reportedAt = now;
        reports.push_back(
                { .upstream = upstream, .limit = entry.limit, .age = now - entry.namedAt });
    }
    return reports;
}

void UpstreamRateLimits::expire(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &entry) {
        return now - entry.second.namedAt >= confirmationTimeout;
    });
}

} // namespace Lavenderpick
