#include "lavenderpick/Upstream/UpstreamAdmission.h"

#include <algorithm>
#include <cmath>

namespace Lavenderpick {

namespace {

// The time of a shorter prefill is mostly that of a step, which says nothing of the speed.
constexpr std::int64_t minimumObservedTokens = 1'000;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double UpstreamAdmission::Demand::value(TimePoint now, Duration halfLife) const
{
    return tokens * std::exp2(-seconds(now - at) / seconds(halfLife));
}

void UpstreamAdmission::Demand::add(double amount, TimePoint now, Duration halfLife)
{
    tokens = value(now, halfLife) + amount;
    at = now;
}

UpstreamAdmission::UpstreamAdmission(const UpstreamAdmissionSettings &settings,
                                     ReservationLedger &ledger)
    : m_settings(settings)
    , m_ledger(ledger)
{ }

void UpstreamAdmission::observePrefill(std::int64_t tokens, Duration duration)
{
    if (tokens < minimumObservedTokens || duration <= Duration::zero())
        return;
    m_prefillTokensPerSecond =
            std::max(m_prefillTokensPerSecond, static_cast<double>(tokens) / seconds(duration));
}

UpstreamAdmission::Result UpstreamAdmission::request(const AdmissionRequest &request, TimePoint now)
{
    if (const auto reason = refusalOf(request, now))
        return { .decision = AdmissionDecision::Refused, .reason = *reason };
    Demand &demand = isLong(request.prefillTokens) ? m_longDemand : m_shortDemand;
    demand.add(static_cast<double>(request.kvTokenCount), now, m_settings.demandHalfLife);
    // An attempt of a reservation has its memory already and does not wait for others'.
    if (!request.reservationId.empty()) {
        m_waiting.push_back({ request, now });
        if (start(m_waiting.size() - 1))
            return { .decision = AdmissionDecision::Started };
        m_waiting.pop_back();
        return { .decision = AdmissionDecision::Refused, .reason = RefusalReason::UpstreamMemory };
    }
    m_waiting.push_back({ request, now });
    const auto index = best(isLong(request.prefillTokens), now);
    const bool isNext = index && m_waiting[*index].request.attemptId == request.attemptId;
    if (isNext && fits(m_waiting[*index], now) && start(*index))
        return { .decision = AdmissionDecision::Started };
    if (mayWait())
        return { .decision = AdmissionDecision::Waiting };
    m_waiting.pop_back();
    return { .decision = AdmissionDecision::Refused, .reason = RefusalReason::QueueFull };
}

std::vector<std::string> UpstreamAdmission::startWaiting(TimePoint now)
{
    std::vector<std::string> started;
    for (const bool wantLong : { false, true }) {
        while (const auto index = best(wantLong, now)) {
            const std::string attemptId = m_waiting[*index].request.attemptId;
            if (!fits(m_waiting[*index], now) || !start(*index))
                break;
            started.push_back(attemptId);
        }
    }
    return started;
}

std::vector<std::string> UpstreamAdmission::dropExpired(TimePoint now)
{
    std::vector<std::string> dropped;
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        if (waiting.request.deadline > now)
            return false;
        dropped.push_back(waiting.request.attemptId);
        return true;
    });
    return dropped;
}

void UpstreamAdmission::finished(const std::string &attemptId)
{
    m_ledger.discharge(attemptId);
    std::erase_if(m_running,
                  [&](const Running &running) { return running.attemptId == attemptId; });
    std::erase_if(m_waiting,
                  [&](const Waiting &waiting) { return waiting.request.attemptId == attemptId; });
}

std::int64_t UpstreamAdmission::waitingPrefillTokens() const
{
    std::int64_t tokens = 0;
    for (const Waiting &waiting : m_waiting)
        tokens += waiting.request.prefillTokens;
    return tokens;
}

std::int64_t UpstreamAdmission::waitingShortPrefillTokens() const
{
    std::int64_t tokens = 0;
    for (const Waiting &waiting : m_waiting)
        tokens += isLong(waiting.request.prefillTokens) ? 0 : waiting.request.prefillTokens;
    return tokens;
}

double UpstreamAdmission::longShare(TimePoint now) const
{
    const double longDemand = m_longDemand.value(now, m_settings.demandHalfLife);
    const double shortDemand = m_shortDemand.value(now, m_settings.demandHalfLife);
    const double total = longDemand + shortDemand;
    const double share = total > 0 ? longDemand / total : m_settings.maximumLongShare;
    return std::clamp(share, m_settings.minimumLongShare, m_settings.maximumLongShare);
}

std::optional<RefusalReason> UpstreamAdmission::refusalOf(const AdmissionRequest &request,
                                                          TimePoint now) const
{
    // The other engines of a long prompt hold memory for it already; refusing its last part would
    // cut off a request that was admitted.
    const bool continues =
            !request.reservationId.empty() && m_ledger.holdsReservation(request.reservationId);
    if (m_refusing && !(m_refusing == RefusalReason::Draining && continues))
        return m_refusing;
    if (!m_models.contains(request.model))
        return RefusalReason::UnknownModel;
    if (!request.reservationId.empty() && !m_ledger.holdsReservation(request.reservationId))
        return RefusalReason::UpstreamMemory;
    if (request.kvTokenCount > m_ledger.capacity())
        return RefusalReason::UpstreamMemory;
    if (request.deadline <= now)
        return RefusalReason::DeadlineExceeded;
    const double left = seconds(request.deadline - now);
    if (m_prefillTokensPerSecond > 0
        && static_cast<double>(request.prefillTokens) / m_prefillTokensPerSecond > left)
        return RefusalReason::DeadlineTooShort;
    return std::nullopt;
}

// Short work: by rank, where waiting raises the rank, then by deadline. Long work: by deadline,
// where an ageing time of waiting brings the deadline nearer by twice that time.
std::optional<std::size_t> UpstreamAdmission::best(bool wantLong, TimePoint now) const
{
    const auto order = [&](const Waiting &waiting) {
        const auto aged = (now - waiting.since) / m_settings.ageingTime;
        if (wantLong)
            return std::pair<std::int64_t, TimePoint>(
                    0, waiting.request.deadline - 2 * aged * m_settings.ageingTime);
        return std::pair<std::int64_t, TimePoint>(-(waiting.request.rank + aged),
                                                  waiting.request.deadline);
    };
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < m_waiting.size(); ++index) {
        if (isLong(m_waiting[index].request.prefillTokens) != wantLong)
            continue;
        if (!found || order(m_waiting[index]) < order(m_waiting[*found]))
            found = index;
    }
    return found;
}

bool UpstreamAdmission::fits(const Waiting &waiting, TimePoint now) const
{
    const std::int64_t tokens = waiting.request.kvTokenCount;
    if (!isLong(waiting.request.prefillTokens))
        return tokens <= m_ledger.available() - memoryKeptForLong(now);
    if (tokens > m_ledger.available())
        return false;
    const auto allowance =
            static_cast<std::int64_t>(longShare(now) * static_cast<double>(m_ledger.capacity()));
    // One long prompt alone may exceed the share, or a prompt larger than it could never start.
    return longTokens() == 0 || longTokens() + tokens <= allowance;
}

// Whether the queue is within its bounds with the last request in it.
bool UpstreamAdmission::mayWait() const
{
    if (m_waiting.size() > m_settings.maximumWaiting)
        return false;
    return m_waiting.size() == 1 || waitingPrefillTokens() <= m_settings.maximumWaitingTokens;
}

bool UpstreamAdmission::start(std::size_t index)
{
    const AdmissionRequest request = m_waiting[index].request;
    const LedgerResult result =
            m_ledger.charge(request.attemptId, request.kvTokenCount, request.reservationId);
    if (result != LedgerResult::Granted)
        return false;
    m_running.push_back({ request.attemptId, request.kvTokenCount, isLong(request.prefillTokens) });
    m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
    return true;
}

std::int64_t UpstreamAdmission::longTokens() const
{
    std::int64_t tokens = 0;
    for (const Running &running : m_running)
        tokens += running.isLong ? running.kvTokenCount : 0;
    return tokens;
}

// Once the next long prompt has waited for the ageing time, memory that becomes free is kept for
// it; otherwise a steady flow of short work would take each piece before enough is free. Short work
// keeps what the upper bound of the long share leaves.
std::int64_t UpstreamAdmission::memoryKeptForLong(TimePoint now) const
{
    const auto index = best(true, now);
    if (!index || now - m_waiting[*index].since < m_settings.ageingTime || longTokens() > 0)
        return 0;
    const auto most = static_cast<std::int64_t>(m_settings.maximumLongShare
                                                * static_cast<double>(m_ledger.capacity()));
    return std::min(m_waiting[*index].request.kvTokenCount, most);
}

} // namespace Lavenderpick
