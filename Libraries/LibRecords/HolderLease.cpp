#include "lavenderpick/Records/HolderLease.h"

#include "lavenderpick/Base/Error.h"

namespace Lavenderpick {

HolderLease::HolderLease(Table &table, const Clock &clock, Random &random, std::string holder)
    : m_table(table)
    , m_clock(clock)
    , m_holder(std::move(holder))
    , m_incarnation(newIdentifier(random, "lease"))
{ }

bool HolderLease::renew()
{
    return commit({}).state == WriteState::Applied;
}

WriteOutcome HolderLease::commit(const std::vector<Write> &writes)
{
    const std::lock_guard renewLock(m_renewMutex);
    const RowVersion before = m_version;
    WriteOutcome outcome = commitOnce(writes);
    // An earlier renewal whose answer was lost had taken effect after all.
    if (outcome.state == WriteState::Conflict && m_version != before && !isLost())
        outcome = commitOnce(writes);
    return outcome;
}

WriteOutcome HolderLease::commitOnce(const std::vector<Write> &writes)
{
    if (isLost())
        return { .state = WriteState::Conflict };
    // The lease counts from before the write: a watcher can see the new version only later.
    const TimePoint startedAt = m_clock.now();
    const nlohmann::json value { { "incarnation", m_incarnation }, { "sequence", ++m_sequence } };
    std::vector<Write> all { Write { { "holder", m_holder }, m_version, value } };
    all.insert(all.end(), writes.begin(), writes.end());
    WriteOutcome outcome = settle(m_table, SettledWrite(std::move(all)), m_clock,
                                  startedAt + leaseRenewalInterval);

    const std::lock_guard lock(m_mutex);
    if (outcome.state == WriteState::Applied) {
        m_version = outcome.version;
        m_renewedAt = startedAt;
        if (!outcome.versions.empty())
            outcome.versions.erase(outcome.versions.begin());
    } else if (outcome.state == WriteState::Conflict && outcome.conflictIndex == 0) {
        const bool own =
                outcome.found && outcome.found->value.value("incarnation", "") == m_incarnation;
        if (own)
            m_version = outcome.found->version;
        m_lost = !own;
        outcome.found.reset();
    } else if (outcome.state == WriteState::Conflict) {
        --outcome.conflictIndex;
    }
    return outcome;
}

bool HolderLease::isHeld() const
{
    const std::lock_guard lock(m_mutex);
    return !m_lost && m_renewedAt && m_clock.now() - *m_renewedAt < leaseSelfStop;
}

bool HolderLease::isLost() const
{
    const std::lock_guard lock(m_mutex);
    return m_lost;
}

void HolderLease::release()
{
    const std::lock_guard renewLock(m_renewMutex);
    try {
        const bool unused = m_table.list("job-holder", m_holder + "/", "", 1, true).empty();
        if (m_version != 0 && unused)
            m_table.transact({ Write { { "holder", m_holder }, m_version, std::nullopt } });
    } catch (const Error &) {
        // The lease expires, and its removal is left to a watcher.
    }
    const std::lock_guard lock(m_mutex);
    m_lost = true;
}

} // namespace Lavenderpick
