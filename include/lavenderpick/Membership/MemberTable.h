#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Platform/VmList.h"
#include "lavenderpick/Protocol/Datagrams.h"

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavenderpick {

enum class Liveness {
    Unknown, ///< Listed as live, but not watched and never heard of.
    Alive,
    Suspect, ///< Watched, but three reports in a row did not arrive.
    Leaving, ///< Gets no new work; running work finishes.
    Gone,
};

/// One VM as this process sees it.
struct Member
{
    Vm vm;
    std::int64_t incarnation { 0 };     ///< Of the last accepted report; rises with each start.
    std::int64_t sequence { 0 };        ///< Of the last accepted report in that incarnation.
    std::vector<std::string> models {}; ///< Empty until the first report.
    bool accepting { true };            ///< As the agent last reported.
    bool watched { false };             ///< Reports are expected.
    TimePoint suspicionTimerStart {};   ///< Last report, or the time the watch began.
    TimePoint lastReportAt {};          ///< Last report; the clock's epoch without any.
    TimePoint goneSince {};
    bool listOverridden {
        false
    }; ///< A newer incarnation reported than the one the list called gone.
};

struct MemberTableSettings
{
    Duration reportInterval { Seconds(4) };
    int missedReportLimit { 3 };
    Duration goneRetention { Seconds(120) }; ///< Late datagrams of a VM that is gone arrive sooner.
    std::size_t maximumMembers { 16'384 };   ///< About three times the target size.
};

/// The platform's lagging VM list merged with what this process observes. Not safe for concurrent
/// use.
///
/// The list is a hint: it never makes a member alive. A report of a newer incarnation overrides an
/// entry that calls the VM leaving or gone, since the list may still speak of the VM before.
class MemberTable
{
public:
    explicit MemberTable(const MemberTableSettings &settings = {});

    /// The longest time between two reports of a live agent, as this entry asked for it.
    void setReportInterval(Duration interval) { m_settings.reportInterval = interval; }

    /// Merges changes of the list. Changes with an older version than the last are ignored.
    void apply(const VmChanges &changes, TimePoint now);

    /// Returns false for a report that is late, unknown or of an earlier incarnation.
    bool observeReport(const LoadReport &report, TimePoint now);

    /// Whether reports of the agent beside `upstream` are expected from now on.
    void setWatched(const std::string &upstream, bool watched, TimePoint now);

    /// Drops members that are gone for longer than the retention. Call every few seconds.
    void expire(TimePoint now);

    /// Null when unknown. Pointers stay valid until the member is dropped by `apply` or `expire`.
    const Member *findUpstream(const std::string &upstream) const;
    const Member *findVm(const std::string &name) const;

    Liveness liveness(const Member &member, TimePoint now) const;

    /// Whether the agent may get new work.
    bool mayReceiveWork(const Member &member, TimePoint now) const;

    /// Members by VM name, so that every walk has the same order.
    const std::map<std::string, Member> &members() const { return m_members; }

    /// Names of the entry VMs that are neither leaving nor gone.
    const std::vector<std::string> &liveEntryVms() const { return m_liveEntryVms; }

    std::int64_t listVersion() const { return m_listVersion; }

private:
    Member *findMutable(const std::string &upstream);
    void mergeVm(const Vm &vm, TimePoint now);
    void evictMember();
    void rebuildLiveEntryVms();

    MemberTableSettings m_settings;
    std::map<std::string, Member> m_members;
    std::unordered_map<std::string, std::string> m_vmNameByUpstream;
    std::vector<std::string> m_liveEntryVms;
    std::int64_t m_listVersion { 0 };
};

} // namespace Lavenderpick
