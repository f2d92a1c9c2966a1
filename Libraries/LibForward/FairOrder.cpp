#include "lavenderpick/Forward/FairOrder.h"

#include <algorithm>
#include <tuple>

namespace Lavenderpick {

namespace {

// Of customers above `yieldingShare`.
constexpr int yieldingRank = 2;

} // namespace

void FairOrder::recordRequest(const std::string &service, const std::string &customer,
                              TimePoint now)
{
    m_services[service].work.recordRequest(customer, now);
}

void FairOrder::recordWork(const std::string &service, const std::string &customer,
                           double prefillMs, TimePoint now)
{
    m_services[service].work.recordWork(customer, prefillMs, now);
}

void FairOrder::recordShortage(const std::string &service, TimePoint now)
{
    m_services[service].scarceUntil = now + scarcityTime;
}

bool FairOrder::isScarce(const std::string &service, TimePoint now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && now < found->second.scarceUntil;
}

double FairOrder::shareUsed(const std::string &service, const std::string &customer, TimePoint now)
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.work.shareUsed(customer, now);
}

void FairOrder::add(std::uint64_t id, const CompetingRequest &request)
{
    m_requests[id] = request;
    ++m_services[request.service].waiting[{ request.urgency, request.customer }];
}

void FairOrder::remove(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    auto &waiting = m_services[found->second.service].waiting;
    const auto count = waiting.find({ found->second.urgency, found->second.customer });
    if (--count->second == 0)
        waiting.erase(count);
    m_requests.erase(found);
}

std::vector<std::uint64_t> FairOrder::inOrder(TimePoint now)
{
    using Rank = std::tuple<bool, int, int, TimePoint, std::uint64_t>;
    std::vector<Rank> ranks;
    ranks.reserve(m_requests.size());
    for (const auto &[id, request] : m_requests) {
        const int share = shareRank(shareUsed(request.service, request.customer, now));
        const bool byStart =
                !isScarce(request.service, now) || (share < yieldingRank && isDue(request, now));
        ranks.emplace_back(!byStart, byStart ? 0 : request.urgency, byStart ? 0 : share,
                           request.latestStart, id);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<std::uint64_t> ids;
    ids.reserve(ranks.size());
    for (const Rank &rank : ranks)
        ids.push_back(std::get<std::uint64_t>(rank));
    return ids;
}

bool FairOrder::mustYield(const CompetingRequest &request, TimePoint now)
{
    if (!isScarce(request.service, now)
        || shareUsed(request.service, request.customer, now) <= yieldingShare)
        return false;
    // Of two customers above twice their share, neither waits for the other.
    const auto &waiting = m_services[request.service].waiting;
    return std::any_of(waiting.lower_bound({ request.urgency, "" }),
                       waiting.lower_bound({ request.urgency + 1, "" }), [&](const auto &entry) {
                           const std::string &other = entry.first.second;
                           return other != request.customer
                                   && shareUsed(request.service, other, now) <= yieldingShare;
                       });
}

bool FairOrder::isDue(const CompetingRequest &request, TimePoint now)
{
    const Duration lead =
            std::min<Duration>(dueTime, (request.latestStart - request.arrivedAt) / 2);
    return now >= request.latestStart - lead;
}

int FairOrder::shareRank(double shareUsed)
{
    if (shareUsed > yieldingShare)
        return yieldingRank;
    return shareUsed > 1 ? 1 : 0;
}

} // namespace Lavenderpick
