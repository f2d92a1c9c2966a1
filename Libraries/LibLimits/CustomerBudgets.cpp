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
    m_entryCount = std::max<std::size_t>(1, count);
}

const CustomerLimit &CustomerBudgets::limit(const std::string &customer) const
{
    static const CustomerLimit defaultLimit;
    const auto found = m_limits.find(customer);
    return found == m_limits.end() ? defaultLimit : found->second;
}

std::optional<double> CustomerBudgets::clusterUsage(const std::string &customer) const
{
    const std::optional<CustomerUsage> usage = m_gossip.usage(customer);
    if (!usage)
        return std::nullopt;
    return usage->meanRate * static_cast<double>(m_entryCount);
}

double CustomerBudgets::clusterRate(const std::string &customer) const
{
    const CustomerLimit &customerLimit = limit(customer);
    return customerLimit.costPerSecond + customerLimit.weight * m_lentPerWeight;
}

double CustomerBudgets::entryRate(const std::string &customer) const
{
    const auto entries = static_cast<double>(m_entryCount);
    const std::optional<CustomerUsage> usage = m_gossip.usage(customer);
    double share = std::min(1.0, m_settings.unknownUsageShare / entries);
    if (usage && usage->meanRate > 0)
        share = std::clamp(usage->localRate / (usage->meanRate * entries),
                           m_settings.minimumEntryShare / entries, 1.0);
    return clusterRate(customer) * share;
}

CustomerBudgets::Account &CustomerBudgets::findOrCreateAccount(const std::string &customer,
                                                               TimePoint now)
{
    const auto found = m_accounts.find(customer);
    if (found != m_accounts.end())
        return found->second;
    if (m_accounts.size() >= m_settings.maximumCustomers)
        evictAccount();
    Account &account = m_accounts[customer];
    account.updatedAt = now;
    account.balance = entryRate(customer) * m_settings.burstSeconds;
    return account;
}

void CustomerBudgets::evictAccount()
{
    // A recreated account has no debt, so evict the one with the least debt, then the least
    // recently used one.
    const auto evictedFirst = [](const auto &left, const auto &right) {
        const auto key = [](const Account &account) {
            return std::pair(std::max(0.0, -account.balance), account.updatedAt);
        };
        return key(left.second) < key(right.second);
    };
    m_accounts.erase(std::min_element(m_accounts.begin(), m_accounts.end(), evictedFirst));
}

void CustomerBudgets::advance(const std::string &customer, Account &account, TimePoint now) const
{
    const double elapsed = seconds(now - account.updatedAt);
    if (elapsed <= 0)
        return;
    account.updatedAt = now;
    const double rate = entryRate(customer);
    account.balance = std::min(rate * m_settings.burstSeconds, account.balance + rate * elapsed);
    account.offeredRate *= std::exp(-elapsed / m_settings.rateAveragingSeconds);
}

std::optional<Duration> CustomerBudgets::charge(const std::string &customer, double cost,
                                                TimePoint now)
{
    Account &account = findOrCreateAccount(customer, now);
    advance(customer, account, now);
    account.offeredRate += cost / m_settings.rateAveragingSeconds;
    if (account.balance > 0 || m_admitsAll) {
        // Debt for idle capacity is limited to one burst, so that it causes no long refusals later.
        const double burst = entryRate(customer) * m_settings.burstSeconds;
        const double balance = account.balance - cost;
        account.balance = m_admitsAll ? std::max(balance, -burst) : balance;
        return std::nullopt;
    }
    constexpr double minimumRate = 1e-9; // Gives a budget of 0 the maximum wait.
    constexpr double maximumWaitSeconds = 86'400;
    const double rate = std::max(minimumRate, entryRate(customer));
    const double waitSeconds = std::min(maximumWaitSeconds, -account.balance / rate);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(waitSeconds))
            + Milliseconds(1);
}

void CustomerBudgets::refund(const std::string &customer, double cost)
{
    const auto found = m_accounts.find(customer);
    if (found != m_accounts.end())
        found->second.balance += cost;
}

void CustomerBudgets::adjustLending(double pressure, TimePoint now)
{
    const double elapsed = std::min(1.0, seconds(now - m_lendingAdjustedAt));
    m_lendingAdjustedAt = now;
    if (pressure < m_settings.lendBelowPressure)
        m_lentPerWeight += elapsed * m_settings.lendStepPerSecond * m_settings.maximumLentPerWeight;
    else if (pressure > m_settings.reclaimAbovePressure)
        m_lentPerWeight *= std::exp2(-elapsed); // Faster than lending, for guaranteed budgets.
    m_lentPerWeight = std::min(m_lentPerWeight, m_settings.maximumLentPerWeight);
    m_admitsAll = pressure < m_settings.lendBelowPressure
            && m_lentPerWeight >= m_settings.maximumLentPerWeight;
}

std::map<std::string, double> CustomerBudgets::customersNearBudget(TimePoint now)
{
    std::map<std::string, double> rates;
    for (auto &[customer, customerAccount] : m_accounts) {
        advance(customer, customerAccount, now);
        const double estimate = customerAccount.offeredRate * static_cast<double>(m_entryCount);
        if (estimate > m_settings.nearBudgetShare * clusterRate(customer))
            rates[customer] = customerAccount.offeredRate;
    }
    return rates;
}

double CustomerBudgets::offeredRate(const std::string &customer, TimePoint now)
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end())
        return 0;
    advance(customer, found->second, now);
    return found->second.offeredRate;
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
