#include "lavenderpick/Forward/ColdUpstreams.h"

#include <algorithm>

namespace Lavenderpick {

std::string_view toString(ColdReason reason)
{
    switch (reason) {
    case ColdReason::Reported:
        return "reported";
    case ColdReason::NewProcess:
        return "new_process";
    case ColdReason::ZoneReturned:
        return "zone_returned";
    }
    return "unknown";
}

void ColdUpstreams::setServices(const std::vector<ServiceProfile> &services)
{
    m_services.clear();
    for (const ServiceProfile &service : services) {
        if (service.coldDuration > Duration {} || service.coldRequestsPerSecond > 0)
            m_services[service.name] = { .duration = service.coldDuration,
                                         .requestsPerSecond = service.coldRequestsPerSecond };
    }
    for (const auto &[id, process] : m_processes) {
        if (!process.goneSince)
            m_touched.insert(id);
    }
}

void ColdUpstreams::recordList(const std::vector<UpstreamRecord> &records, TimePoint now)
{
    std::set<std::string> listed;
    for (const UpstreamRecord &record : records) {
        listed.insert(record.id);
        recordChange(record, now);
    }
    m_hasList = true;
    // The directory may keep those that are missing for a while; they stay as cold as they are.
    for (auto &[id, process] : m_processes) {
        if (!process.goneSince && !listed.contains(id))
            process.goneSince = now;
    }
    std::erase_if(m_processes, [now](const auto &entry) {
        return entry.second.goneSince && now - *entry.second.goneSince > goneRetention;
    });
}

void ColdUpstreams::recordChange(const UpstreamRecord &record, TimePoint now)
{
    const auto [found, added] = m_processes.try_emplace(record.id);
    Process &process = found->second;
    // Without a start time, an upstream that returns can't be told from another process.
    const bool isNew = added || process.startedMs != record.startedMs
            || (process.goneSince && record.startedMs == 0);
    if (isNew) {
        process = { .startedMs = record.startedMs, .reason = ColdReason::NewProcess };
        if (m_hasList)
            process.coldSince = now;
    }
    process.service = record.service;
    process.zone = record.availabilityZone;
    process.goneSince.reset();
    process.reportedUntil = now + record.coldLeft;
    process.reportedLeft = std::max(process.reportedLeft, record.coldLeft);
    if (record.coldLeft == Duration {})
        process.reportedLeft = {};
    m_touched.insert(record.id);
}

void ColdUpstreams::recordGone(const std::string &id, TimePoint now)
{
    const auto found = m_processes.find(id);
    if (found == m_processes.end())
        return;
    found->second.goneSince = now;
    m_touched.insert(id);
}

void ColdUpstreams::recordZoneReturned(const std::string &zone, TimePoint now)
{
    for (auto &[id, process] : m_processes) {
        if (process.zone != zone || process.goneSince)
            continue;
        process.coldSince = now;
        process.reason = ColdReason::ZoneReturned;
        m_touched.insert(id);
    }
}

ColdUpstreams::Settings ColdUpstreams::settingsOf(const Process &process) const
{
    const auto found = m_services.find(process.service);
    return found == m_services.end() ? Settings {} : found->second;
}

ColdReason ColdUpstreams::reasonOf(const Process &process) const
{
    const bool isReportedLonger = !process.coldSince
            || *process.coldSince + settingsOf(process).duration < process.reportedUntil;
    return isReportedLonger ? ColdReason::Reported : process.reason;
}

std::optional<ColdPeriod> ColdUpstreams::periodOf(const Process &process, TimePoint now) const
{
    const Settings settings = settingsOf(process);
    TimePoint until = process.reportedUntil;
    if (process.coldSince)
        until = std::max(until, *process.coldSince + settings.duration);
    if (process.goneSince || until <= now)
        return std::nullopt;
    return ColdPeriod { .from = until - std::max(settings.duration, process.reportedLeft),
                        .until = until,
                        .requestsPerSecond = settings.requestsPerSecond };
}

std::vector<ColdChange> ColdUpstreams::takeChanges(TimePoint now)
{
    for (const auto &[id, period] : m_cold) {
        if (period.until <= now)
            m_touched.insert(id);
    }
    std::vector<ColdChange> changes;
    for (const std::string &id : m_touched) {
        const auto process = m_processes.find(id);
        ColdChange change { .upstream = id, .wasCold = m_cold.contains(id) };
        if (process != m_processes.end()) {
            change.period = periodOf(process->second, now);
            change.reason = reasonOf(process->second);
        }
        if (!change.period && !change.wasCold)
            continue;
        if (change.period)
            m_cold[id] = *change.period;
        else
            m_cold.erase(id);
        changes.push_back(std::move(change));
    }
    m_touched.clear();
    return changes;
}

Duration ColdUpstreams::left(const std::string &id, TimePoint now) const
{
    const auto found = m_cold.find(id);
    return found == m_cold.end() ? Duration {} : std::max(Duration {}, found->second.until - now);
}

} // namespace Lavenderpick
