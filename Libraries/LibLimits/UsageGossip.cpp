#include "lavenderpick/Limits/UsageGossip.h"

#include <cmath>

namespace Lavenderpick {

namespace {

// Fewer exchanges leave the values too far from the mean: with 330 entries and all load at one of
// them, each exchange divides the deviation by about 1.8.
constexpr int minimumExchanges = 5;
constexpr std::size_t bytesPerRate = 11; // A CBOR double and the header of its name.

} // namespace

UsageGossip::UsageGossip(Duration epoch, std::size_t maximumCustomers)
    : m_epochDuration(epoch)
    , m_maximumCustomers(maximumCustomers)
{ }

void UsageGossip::advance(UsageSource &source, TimePoint now)
{
    if (m_epoch == 0 || now - m_epochStart >= m_epochDuration)
        start(m_epoch + 1, source, now);
}

void UsageGossip::start(std::int64_t epoch, UsageSource &source, TimePoint now)
{
    if (m_exchanges >= minimumExchanges)
        m_complete = { m_current.begin(), m_current.end() };
    m_epoch = epoch;
    m_epochStart = now;
    m_exchanges = 0;
    m_sent.clear();
    m_current.clear();
    for (const auto &[customer, rate] : source.hotCustomers(now)) {
        if (m_current.size() < m_maximumCustomers)
            m_current.emplace(customer, CustomerUsage { rate, rate });
    }
}

void UsageGossip::fill(Gossip &gossip)
{
    gossip.usageEpoch = m_epoch;
    m_sent.clear();
    std::size_t bytes = 0;
    auto next = m_current.upper_bound(m_rotation);
    for (std::size_t count = 0; count < m_current.size(); ++count) {
        if (next == m_current.end())
            next = m_current.begin();
        bytes += next->first.size() + bytesPerRate;
        if (bytes > maximumUsageBytes)
            break;
        m_sent.emplace(next->first, next->second.mean);
        m_rotation = next->first;
        ++next;
    }
    gossip.usage = m_sent;
}

void UsageGossip::merge(const Gossip &received, Gossip *answer, UsageSource &source, TimePoint now)
{
    if (received.usageEpoch > m_epoch)
        start(received.usageEpoch, source, now);
    if (answer)
        answer->usageEpoch = m_epoch;
    if (received.usageEpoch != m_epoch)
        return;
    ++m_exchanges;
    for (const auto &[customer, theirs] : received.usage) {
        if (!std::isfinite(theirs) || theirs < 0)
            continue;
        auto own = m_current.find(customer);
        if (own == m_current.end() && m_current.size() >= m_maximumCustomers)
            continue;
        if (own == m_current.end()) {
            const double rate = source.offeredRate(customer, now);
            own = m_current.emplace(customer, CustomerUsage { rate, rate }).first;
        }
        double &mean = own->second.mean;
        if (answer) {
            answer->usage[customer] = mean;
            mean += (theirs - mean) / 2;
            continue;
        }
        // The value may have moved since the question; adding half the difference of the values
        // exchanged keeps the sum over all entries.
        const auto sent = m_sent.find(customer);
        if (sent != m_sent.end())
            mean += (theirs - sent->second) / 2;
    }
    if (!answer)
        m_sent.clear();
}

std::optional<CustomerUsage> UsageGossip::usage(const std::string &customer) const
{
    const auto found = m_complete.find(customer);
    if (found == m_complete.end())
        return std::nullopt;
    return found->second;
}

} // namespace Lavenderpick
