#include "lavenderpick/Membership/MemberTable.h"

#include <algorithm>

namespace Lavenderpick {

MemberTable::MemberTable(const MemberTableSettings &settings)
    : m_settings(settings)
{ }

void MemberTable::apply(const VmChanges &changes, TimePoint now)
{
    if (changes.version < m_listVersion)
        return;
    m_listVersion = changes.version;
    for (const Vm &vm : changes.vms)
        mergeVm(vm, now);
    rebuildLiveEntryVms();
}

void MemberTable::mergeVm(const Vm &vm, TimePoint now)
{
    auto found = m_members.find(vm.name);
    if (found == m_members.end()) {
        if (vm.state == VmState::Gone)
            return;
        if (m_members.size() >= m_settings.maximumMembers)
            evictMember();
        found = m_members.emplace(vm.name, Member { .vm = vm }).first;
    }
    Member &member = found->second;
    // The same name at another address is another VM, whose agent has not reported yet.
    const bool replaced =
            member.vm.address != vm.address || member.vm.datagramAddress != vm.datagramAddress;
    if (replaced || member.vm.state != vm.state)
        member.listOverridden = false;
    if (replaced) {
        member.suspicionTimerStart = now;
        member.models.clear();
    }
    if (vm.state == VmState::Gone && member.vm.state != VmState::Gone)
        member.goneSince = now;
    if (!member.vm.upstream.empty() && member.vm.upstream != vm.upstream) {
        const auto mapped = m_vmNameByUpstream.find(member.vm.upstream);
        if (mapped != m_vmNameByUpstream.end() && mapped->second == vm.name)
            m_vmNameByUpstream.erase(mapped);
    }
    member.vm = vm;
    // A VM that is gone must not replace its successor as the VM of the upstream.
    if (!vm.upstream.empty() && (vm.state != VmState::Gone || !findUpstream(vm.upstream)))
        m_vmNameByUpstream[vm.upstream] = vm.name;
}

void MemberTable::evictMember()
{
    // Evicts members that are gone first, then the one with the oldest last report.
    const auto evictionOrder = [](const auto &left, const auto &right) {
        const auto key = [](const Member &member) {
            return std::pair(member.vm.state != VmState::Gone, member.lastReportAt);
        };
        return key(left.second) < key(right.second);
    };
    const auto victim = std::min_element(m_members.begin(), m_members.end(), evictionOrder);
    const auto mapped = m_vmNameByUpstream.find(victim->second.vm.upstream);
    if (mapped != m_vmNameByUpstream.end() && mapped->second == victim->first)
        m_vmNameByUpstream.erase(mapped);
    m_members.erase(victim);
}

void MemberTable::rebuildLiveEntryVms()
{
    m_liveEntryVms.clear();
    for (const auto &[name, member] : m_members) {
        if (member.vm.role == "entry" && member.vm.state == VmState::Live)
            m_liveEntryVms.push_back(name);
    }
}

bool MemberTable::observeReport(const LoadReport &report, TimePoint now)
{
    Member *member = findMutable(report.upstream);
    if (!member)
        return false;
    if (std::pair(report.incarnation, report.sequence)
        <= std::pair(member->incarnation, member->sequence))
        return false;
    const bool newIncarnation = report.incarnation > member->incarnation;
    if (newIncarnation && member->incarnation != 0 && member->vm.state != VmState::Live)
        member->listOverridden = true;
    member->incarnation = report.incarnation;
    member->sequence = report.sequence;
    member->models = report.models;
    member->accepting = report.accepting;
    member->suspicionTimerStart = now;
    member->lastReportAt = now;
    return true;
}

void MemberTable::setWatched(const std::string &upstream, bool watched, TimePoint now)
{
    Member *member = findMutable(upstream);
    if (!member || member->watched == watched)
        return;
    member->watched = watched;
    member->suspicionTimerStart = now;
}

void MemberTable::expire(TimePoint now)
{
    for (auto member = m_members.begin(); member != m_members.end();) {
        const bool expired = member->second.vm.state == VmState::Gone
                && !member->second.listOverridden
                && now - member->second.goneSince > m_settings.goneRetention;
        if (!expired) {
            ++member;
            continue;
        }
        const auto mapped = m_vmNameByUpstream.find(member->second.vm.upstream);
        if (mapped != m_vmNameByUpstream.end() && mapped->second == member->first)
            m_vmNameByUpstream.erase(mapped);
        member = m_members.erase(member);
    }
}

Member *MemberTable::findMutable(const std::string &upstream)
{
    const auto mapped = m_vmNameByUpstream.find(upstream);
    if (mapped == m_vmNameByUpstream.end())
        return nullptr;
    const auto member = m_members.find(mapped->second);
    return member == m_members.end() ? nullptr : &member->second;
}

const Member *MemberTable::findUpstream(const std::string &upstream) const
{
    return const_cast<MemberTable *>(this)->findMutable(upstream);
}

const Member *MemberTable::findVm(const std::string &name) const
{
    const auto member = m_members.find(name);
    return member == m_members.end() ? nullptr : &member->second;
}

Liveness MemberTable::liveness(const Member &member, TimePoint now) const
{
    if (!member.listOverridden && member.vm.state == VmState::Gone)
        return Liveness::Gone;
    if (!member.listOverridden && member.vm.state == VmState::Leaving)
        return Liveness::Leaving;
    if (!member.watched)
        return Liveness::Unknown;
    // The additional half interval allows for the network delay of a report in transit.
    const Duration limit = m_settings.reportInterval * m_settings.missedReportThreshold
            + m_settings.reportInterval / 2;
    if (now - member.suspicionTimerStart > limit)
        return Liveness::Suspect;
    return member.lastReportAt == TimePoint {} ? Liveness::Unknown : Liveness::Alive;
}

bool MemberTable::mayReceiveWork(const Member &member, TimePoint now) const
{
    return member.accepting && liveness(member, now) == Liveness::Alive;
}

} // namespace Lavenderpick
