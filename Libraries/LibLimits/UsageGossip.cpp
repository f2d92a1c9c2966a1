#include "lavenderpick/Limits/UsageGossip.h"

#include <cmath>

namespace Lavenderpick {

namespace {

// With fewer exchanges the values are too far from the mean: with 330 entries and all load at one
// of them, each exchange divides the deviation by about 1.8.
constexpr int minimumExchanges = 5;
constexpr std::size_t encodedRateBytes = 11; // A CBOR double and the header of the customer's name.

} // namespace

UsageGossip::UsageGossip(Duration epoch, std::size_t maximumCustomers)
    : m_epochDuration(epoch)
    , m_maximumCustomers(maximumCustomers)
{ }

void UsageGossip::advance(UsageSource &source, TimePoint now)
{
    if (m_epoch == 0 || now - m_epochStart >= m_epochDuration)
        startEpoch(m_epoch + 1, source, now);
}

void UsageGossip::startEpoch(std::int64_t epoch, UsageSource &source, TimePoint now)
{
    if (m_exchangeCount >= minimumExchanges)
        m_completedUsage = { m_currentUsage.begin(), m_currentUsage.end() };
    m_epoch = epoch;
    m_epochStart = now;
    m_exchangeCount = 0;
    m_sentMeans.clear();
    m_currentUsage.clear();
    for (const auto &[customer, rate] : source.customersNearBudget(now)) {
        if (m_currentUsage.size() < m_maximumCustomers)
            m_currentUsage.emplace(customer, CustomerUsage { rate, rate });
    }
}

void UsageGossip::fill(Gossip &gossip)
{
    gossip.usageEpoch = m_epoch;
    m_sentMeans.clear();
    std::size_t bytes = 0;
    auto next = m_currentUsage.upper_bound(m_lastSentCustomer);
    for (std::size_t count = 0; count < m_currentUsage.size(); ++count) {
        if (next == m_currentUsage.end())
            next = m_currentUsage.begin();
        bytes += next->first.size() + encodedRateBytes;
        if (bytes > maximumUsageBytes)
            break;
        m_sentMeans.emplace(next->first, next->second.meanRate);
        m_lastSentCustomer = next->first;
        ++next;
    }
    gossip.usage = m_sentMeans;
}

void UsageGossip::merge(const Gossip &received, Gossip *answer, UsageSource &source, TimePoint now)
{
    if (received.usageEpoch > m_epoch)
        startEpoch(received.usageEpoch, source, now);
    if (answer)
        answer->usageEpoch = m_epoch;
    if (received.usageEpoch != m_epoch)
        return;
    ++m_exchangeCount;
    for (const auto &[customer, peerRate] : received.usage) {
        if (!std::isfinite(peerRate) || peerRate < 0)
            continue;
        auto local = m_currentUsage.find(customer);
        if (local == m_currentUsage.end() && m_currentUsage.size() >= m_maximumCustomers)
            continue;
        if (local == m_currentUsage.end()) {
            const double rate = source.offeredRate(customer, now);
            local = m_currentUsage.emplace(customer, CustomerUsage { rate, rate }).first;
        }
        double &meanRate = local->second.meanRate;
        if (answer) {
            answer->usage[customer] = meanRate;
            meanRate += (peerRate - meanRate) / 2;
            continue;
        }
        // The mean may have changed since the question was sent. Adding half the difference of the
        // exchanged values keeps the sum over all entries.
        const auto sent = m_sentMeans.find(customer);
        if (sent != m_sentMeans.end())
            meanRate += (peerRate - sent->second) / 2;
    }
    if (!answer)
        m_sentMeans.clear();
}

std::optional<CustomerUsage> UsageGossip::usage(const std::string &customer) const
{
    const auto found = m_completedUsage.find(customer);
    if (found == m_completedUsage.end())
        return std::nullopt;
    return found->second;
}

} // namespace Lavenderpick
