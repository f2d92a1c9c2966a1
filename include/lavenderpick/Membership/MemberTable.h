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
    Unknown, ///< Neither leaving nor gone, but not watched or without any report so far.
    Alive,
    Suspect, ///< Watched, but `missedReportThreshold` reports in a row did not arrive.
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
    bool watched { false };             ///< Whether reports are expected.
    /// Time of the last report, of the last change of `watched` or of the VM's replacement,
    /// whichever is latest.
    TimePoint suspicionTimerStart {};
    TimePoint lastReportAt {}; ///< The clock's epoch before the first report.
    TimePoint goneSince {};
    /// A newer incarnation has reported since the list called the VM leaving or gone.
    bool listOverridden { false };
};

struct MemberTableSettings
{
    Duration reportInterval { Seconds(4) };
    int missedReportThreshold { 3 };
    Duration goneRetention { Seconds(120) }; ///< Late datagrams of a gone VM arrive within it.
    std::size_t maximumMembers { 16'384 };   ///< About three times the target size of the fleet.
};

/// Merges the platform's VM list, which lags, with the reports that this process receives. Not safe
/// for concurrent use.
///
/// The list alone never makes a member alive; this takes a report. A report of a newer incarnation
/// overrides a listed state of leaving or gone, which may still refer to the previous incarnation.
class MemberTable
{
public:
    explicit MemberTable(const MemberTableSettings &settings = {});

    /// Sets the longest time between two reports of a live agent, as requested by this entry.
    void setReportInterval(Duration interval) { m_settings.reportInterval = interval; }

    /// Merges changes of the VM list. Ignores changes with an older version than the last.
    void apply(const VmChanges &changes, TimePoint now);

    /// Returns false for a report of an unknown upstream or of an earlier incarnation, and for one
    /// that is not newer than the last accepted report.
    bool observeReport(const LoadReport &report, TimePoint now);

    /// Sets whether reports of the agent of `upstream` are expected from now on.
    void setWatched(const std::string &upstream, bool watched, TimePoint now);

    /// Removes members that have been gone for longer than `goneRetention`. Call every few seconds.
    void expire(TimePoint now);

    /// Null when unknown. Pointers stay valid until `apply` or `expire` removes the member.
    const Member *findUpstream(const std::string &upstream) const;
    const Member *findVm(const std::string &name) const;

    Liveness liveness(const Member &member, TimePoint now) const;

    /// Whether the agent may get new work.
    bool mayReceiveWork(const Member &member, TimePoint now) const;

    /// Members by VM name, so that the iteration order is always the same.
    const std::map<std::string, Member> &members() const { return m_members; }

    /// Names of the entry VMs that the list calls live.
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
