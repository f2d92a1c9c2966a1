#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Records/SettledWrite.h"

#include <mutex>
#include <string>

namespace Lavenderpick {

constexpr Seconds leaseRenewalInterval { 10 };

/// A holder that could not renew for this long stops working on its jobs (J6). Less than
/// `leaseExpiry`, so that a holder on a running VM stops before its jobs are taken over.
constexpr Seconds leaseSelfStop { 20 };

/// A holder whose lease version stood still for this long is expired (J5).
constexpr Seconds leaseExpiry { 30 };

/// The lease of one holder of jobs, row `holder/<holder>` (J2). Safe for concurrent use.
///
/// Every write of a job is conditional on the job's own version, so two holders never both finish
/// it. The lease decides when others may take the jobs. A job joins a holder only in a transaction
/// that also renews the lease: otherwise a holder that stood still could put a job under a lease
/// that a watcher has removed, where nobody would look for it.
class HolderLease
{
public:
    /// `holder` must be unique to this start of the process, such as the entry's name and an
    /// incarnation: a restarted entry must not renew the lease of the jobs it has forgotten.
    HolderLease(Table &table, const Clock &clock, Random &random, std::string holder);

    const std::string &holder() const { return m_holder; }

    /// Writes the next renewal; call it every `leaseRenewalInterval` while jobs are held. Returns
    /// whether the renewal took effect; does not throw for store failures.
    bool renew();

    /// Applies `writes` in one transaction with a renewal. The outcome is that of `writes`: its
    /// versions and conflict index leave the lease out. Conflict without a found row and with
    /// `isLost()` means that the lease is gone.
    WriteOutcome commit(const std::vector<Write> &writes);

    /// Whether work on the held jobs may go on.
    bool isHeld() const;

    /// Whether a watcher removed the lease. It can't be renewed any more; a new holder is needed.
    bool isLost() const;

    /// Ends the lease, and removes its row if the index shows no jobs under it. Otherwise it
    /// expires and a watcher takes the jobs over, as it does after a failure here.
    void release();

private:
    WriteOutcome commitOnce(const std::vector<Write> &writes);

    Table &m_table;
    const Clock &m_clock;
    std::string m_holder;
    std::string m_incarnation;
    std::mutex m_renewMutex; ///< Held across the write, so that renewals don't race each other.
    mutable std::mutex m_mutex;
    std::int64_t m_sequence { 0 };
    RowVersion m_version { 0 };
    bool m_lost { false };
    std::optional<TimePoint> m_renewedAt {};
};

} // namespace Lavenderpick
