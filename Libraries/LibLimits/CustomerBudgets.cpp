#include "lavenderpick/Limits/CustomerBudgets.h"

#include <algorithm>
#include <cmath>

namespace Lavenderpick {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

CustomerBudgets::CustomerBudgets(const BudgetSettings &settings)
    : m_settings(settings)
{ }

void CustomerBudgets::setLimit(const std::string &customer, const CustomerLimit &limit)
{
    m_limits[customer] = limit;
}

void CustomerBudgets::removeLimit(const std::string &customer)
{
    m_limits.erase(customer);
    m_accounts.erase(customer);
}

void CustomerBudgets::setEntryCount(std::size_t count)
{
    m_entries = std::max<std::size_t>(1, count);
}

const CustomerLimit &CustomerBudgets::limit(const std::string &customer) const
{
    static const CustomerLimit unknown;
    const auto found = m_limits.find(customer);
    return found == m_limits.end() ? unknown : found->second;
}

std::optional<double> CustomerBudgets::clusterUsage(const std::string &customer) const
{
    const std::optional<CustomerUsage> usage = m_gossip.usage(customer);
    if (!usage)
        return std::nullopt;
    return usage->mean * static_cast<double>(m_entries);
}

double CustomerBudgets::totalRate(const std::string &customer) const
{
    const CustomerLimit &customerLimit = limit(customer);
    return customerLimit.costPerSecond + customerLimit.weight * m_lent;
}

double CustomerBudgets::localRate(const std::string &customer) const
{
    const auto entries = static_cast<double>(m_entries);
    const std::optional<CustomerUsage> usage = m_gossip.usage(customer);
    double share = std::min(1.0, m_settings.unknownShare / entries);
    if (usage && usage->mean > 0)
        share = std::clamp(usage->own / (usage->mean * entries), m_settings.floorShare / entries,
                           1.0);
    return totalRate(customer) * share;
}

CustomerBudgets::Account &CustomerBudgets::account(const std::string &customer, TimePoint now)
{
    const auto found = m_accounts.find(customer);
    if (found != m_accounts.end())
        return found->second;
    if (m_accounts.size() >= m_settings.maximumCustomers)
        makeRoom();
    Account &created = m_accounts[customer];
    created.updated = now;
    created.level = localRate(customer) * m_settings.burstSeconds;
    return created;
}

void CustomerBudgets::makeRoom()
{
    // The account with the least debt, then the longest unused, loses the least by a new start.
    const auto order = [](const auto &left, const auto &right) {
        const auto key = [](const Account &account) {
            return std::pair(std::max(0.0, -account.level), account.updated);
        };
        return key(left.second) < key(right.second);
    };
    m_accounts.erase(std::min_element(m_accounts.begin(), m_accounts.end(), order));
}

void CustomerBudgets::advance(const std::string &customer, Account &account, TimePoint now) const
{
    const double elapsed = seconds(now - account.updated);
    if (elapsed <= 0)
        return;
    account.updated = now;
    const double rate = localRate(customer);
    account.level = std::min(rate * m_settings.burstSeconds, account.level + rate * elapsed);
    account.offered *= std::exp(-elapsed / m_settings.rateSeconds);
}

std::optional<Duration> CustomerBudgets::charge(const std::string &customer, double cost,
                                                TimePoint now)
{
    Account &charged = account(customer, now);
    advance(customer, charged, now);
    charged.offered += cost / m_settings.rateSeconds;
    if (charged.level > 0 || m_idle) {
        // Idle capacity costs its borrower nothing beyond a burst, so it leaves no long debt.
        const double burst = localRate(customer) * m_settings.burstSeconds;
        const double level = charged.level - cost;
        charged.level = m_idle ? std::max(level, -burst) : level;
        return std::nullopt;
    }
    constexpr double minimumRate = 1e-9; // A budget of 0 refuses for a very long time.
    constexpr double maximumWait = 86'400;
    const double rate = std::max(minimumRate, localRate(customer));
    const double wait = std::min(maximumWait, -charged.level / rate);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait))
            + Milliseconds(1);
}

void CustomerBudgets::refund(const std::string &customer, double cost)
{
    const auto found = m_accounts.find(customer);
    if (found != m_accounts.end())
        found->second.level += cost;
}

void CustomerBudgets::adjustLending(double pressure, TimePoint now)
{
    const double elapsed = std::min(1.0, seconds(now - m_lendingAdjusted));
    m_lendingAdjusted = now;
    if (pressure < m_settings.lendLow)
        m_lent += elapsed * m_settings.lendStep * m_settings.lendMaximum;
    else if (pressure > m_settings.lendHigh)
        m_lent *= std::exp2(-elapsed); // Taken back faster than lent: owners come first.
    m_lent = std::min(m_lent, m_settings.lendMaximum);
    m_idle = pressure < m_settings.lendLow && m_lent >= m_settings.lendMaximum;
}

std::map<std::string, double> CustomerBudgets::hotCustomers(TimePoint now)
{
    std::map<std::string, double> rates;
    for (auto &[customer, customerAccount] : m_accounts) {
        advance(customer, customerAccount, now);
        const double estimate = customerAccount.offered * static_cast<double>(m_entries);
        if (estimate > m_settings.hotShare * totalRate(customer))
            rates[customer] = customerAccount.offered;
    }
    return rates;
}

double CustomerBudgets::offeredRate(const std::string &customer, TimePoint now)
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end())
        return 0;
    advance(customer, found->second, now);
    return found->second.offered;
}

void CustomerBudgets::fillGossip(Gossip &gossip, TimePoint now)
{
    m_gossip.advance(*this, now);
    m_gossip.fill(gossip);
}

void CustomerBudgets::mergeGossip(const Gossip &received, Gossip *answer, TimePoint now)
{
    m_gossip.merge(received, answer, *this, now);
}

} // namespace Lavenderpick
