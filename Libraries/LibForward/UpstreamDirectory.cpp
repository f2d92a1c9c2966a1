#include "lavenderpick/Forward/UpstreamDirectory.h"

#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Forward/HttpGrammar.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Lavenderpick {

std::string_view toString(UpstreamExclusion exclusion)
{
    switch (exclusion) {
    case UpstreamExclusion::None:
        return "none";
    case UpstreamExclusion::NotListed:
        return "not_listed";
    case UpstreamExclusion::Evacuated:
        return "evacuated";
    case UpstreamExclusion::Leaving:
        return "leaving";
    case UpstreamExclusion::Misdirected:
        return "misdirected";
    case UpstreamExclusion::Paused:
        return "paused";
    }
    return "unknown";
}

nlohmann::json UpstreamRecord::toJson() const
{
    nlohmann::json json { { "id", id },
                          { "service", service },
                          { "address", address },
                          { "availability_zone", availabilityZone },
                          { "capacity", capacity },
                          { "leaving", state == UpstreamState::Leaving },
                          { "started_ms", startedMs } };
    if (coldLeft > Duration {})
        json["cold_left_ms"] = toMilliseconds(coldLeft);
    return json;
}

UpstreamRecord UpstreamRecord::parse(const nlohmann::json &json)
{
    return {
        .id = requireFieldValue(requireString(json, "id"), "id"),
        .service = requireString(json, "service"),
        .address = requireFieldValue(requireString(json, "address"), "address"),
        .availabilityZone = requireString(json, "availability_zone"),
        .capacity = static_cast<int>(requireInteger(json, "capacity", 1)),
        .state = requireBool(json, "leaving") ? UpstreamState::Leaving : UpstreamState::Ready,
        .startedMs = requireInteger(json, "started_ms"),
        .coldLeft = Milliseconds(
                optionalInteger(json, "cold_left_ms", 0, 0, toMilliseconds(longestColdLeft))),
    };
}

void UpstreamDirectory::recordChange()
{
    ++m_generation;
    m_ready.clear();
}

void UpstreamDirectory::put(const UpstreamRecord &record)
{
    Entry &entry = m_entries[record.id];
    entry.record.coldLeft = record.coldLeft;
    if (!entry.removalPending && entry.record == record)
        return;
    entry = { .record = record, .removalPending = false };
    recordChange();
}

bool UpstreamDirectory::remove(const std::string &id, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return false;
    // A leaving upstream is not expected to register again.
    if (m_store.mayHaveExpired(now) && found->second.record.state == UpstreamState::Ready) {
        found->second.removalPending = true;
        return true;
    }
    erase(id, now);
    recordChange();
    return false;
}

void UpstreamDirectory::erase(const std::string &id, TimePoint now)
{
    const auto found = m_entries.find(id);
    m_removals[id] = { .startedMs = found->second.record.startedMs, .at = now };
    m_entries.erase(found);
    std::erase_if(m_removals,
                  [now](const auto &entry) { return entry.second.at + removalMemory <= now; });
}

std::optional<UpstreamRecord> UpstreamDirectory::withoutReturn(const UpstreamRecord &record,
                                                               TimePoint now) const
{
    const auto removal = m_removals.find(record.id);
    if (removal != m_removals.end() && removal->second.startedMs == record.startedMs
        && now < removal->second.at + removalMemory)
        return std::nullopt;
    UpstreamRecord listed = record;
    const auto known = m_entries.find(record.id);
    if (known != m_entries.end() && known->second.record.startedMs == record.startedMs
        && known->second.record.state == UpstreamState::Leaving)
        listed.state = UpstreamState::Leaving;
    return listed;
}

void UpstreamDirectory::replaceAll(const std::vector<UpstreamRecord> &records, TimePoint now)
{
    const bool isOlderCopy = std::exchange(m_listsOlderCopy, false);
    std::set<std::string> listed;
    for (const UpstreamRecord &record : records) {
        const auto known = isOlderCopy ? withoutReturn(record, now) : record;
        if (!known)
            continue;
        listed.insert(record.id);
        put(*known);
    }
    std::vector<std::string> missing;
    for (const auto &[id, entry] : m_entries) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const std::string &id : missing) {
        Entry &entry = m_entries.at(id);
        if (isOlderCopy && entry.record.state == UpstreamState::Ready) {
            entry.removalPending = true;
            entry.removalNotBefore = now + returnTimeout;
        } else {
            remove(id, now);
        }
    }
}

void UpstreamDirectory::recordMisdirection(const std::string &id, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    found->second.misdirectedUntil = now + misdirectionTimeout;
    recordChange();
}

void UpstreamDirectory::endMisdirections(TimePoint now)
{
    for (auto &[id, entry] : m_entries) {
        if (!entry.misdirectedUntil || now < *entry.misdirectedUntil)
            continue;
        entry.misdirectedUntil.reset();
        recordChange();
    }
}

bool UpstreamDirectory::graceHasEnded(TimePoint now, TimePoint completeUpTo) const
{
    const TimePoint end = m_store.gracePeriodEnd();
    return !m_store.mayHaveExpired(now) && (completeUpTo >= end || now >= end + newsTimeout);
}

bool UpstreamDirectory::recordLeaving(const std::string &id, std::int64_t startedMs, TimePoint now)
{
    if (!m_notices.recordLeaving(id, startedMs, now))
        return false;
    recordChange();
    return true;
}

bool UpstreamDirectory::recordPause(const std::string &id, std::int64_t startedMs, Duration pause,
                                    TimePoint now)
{
    if (!m_notices.recordPause(id, startedMs, pause, now))
        return false;
    recordChange();
    return true;
}

UpstreamDirectory::Expired UpstreamDirectory::expire(TimePoint now, TimePoint completeUpTo)
{
    endMisdirections(now);
    Expired expired { .returned = m_notices.expire(
                              now, [this](const std::string &id) { return find(id) != nullptr; }) };
    if (graceHasEnded(now, completeUpTo)) {
        for (const auto &[id, entry] : m_entries) {
            if (entry.removalPending && now >= entry.removalNotBefore)
                expired.removed.push_back(id);
        }
    }
    for (const std::string &id : expired.removed)
        erase(id, now);
    if (!expired.removed.empty() || !expired.returned.empty())
        recordChange();
    return expired;
}

ZoneEvacuations::Result UpstreamDirectory::applyEvacuations(const EvacuationUpdate &update)
{
    ZoneEvacuations::Result result = m_evacuations.apply(update);
    if (!result.changes.empty())
        recordChange();
    return result;
}

UpstreamExclusion UpstreamDirectory::exclusionOf(const Entry &entry) const
{
    const UpstreamRecord &record = entry.record;
    if (m_evacuations.isEvacuated(record.availabilityZone))
        return UpstreamExclusion::Evacuated;
    if (record.state != UpstreamState::Ready || m_notices.isLeaving(record.id, record.startedMs))
        return UpstreamExclusion::Leaving;
    if (entry.misdirectedUntil)
        return UpstreamExclusion::Misdirected;
    if (m_notices.pausedUntil(record.id, record.startedMs))
        return UpstreamExclusion::Paused;
    return UpstreamExclusion::None;
}

UpstreamExclusion UpstreamDirectory::exclusion(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? UpstreamExclusion::NotListed : exclusionOf(found->second);
}

std::optional<TimePoint> UpstreamDirectory::earliestReturn(const std::string &service) const
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, entry] : m_entries) {
        const auto pausedUntil = m_notices.pausedUntil(id, entry.record.startedMs);
        if (entry.record.service == service && pausedUntil
            && exclusionOf(entry) == UpstreamExclusion::Paused)
            earliest = std::min(earliest.value_or(*pausedUntil), *pausedUntil);
    }
    return earliest;
}

std::optional<UpstreamRecord> UpstreamDirectory::otherAtAddress(const std::string &address,
                                                                const std::string &id) const
{
    std::optional<UpstreamRecord> other;
    for (const auto &[otherId, entry] : m_entries) {
        if (otherId == id || entry.record.address != address)
            continue;
        if (other)
            return std::nullopt;
        other = entry.record;
    }
    return other;
}

const UpstreamRecord *UpstreamDirectory::find(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<UpstreamRecord> UpstreamDirectory::records() const
{
    std::vector<UpstreamRecord> all;
    for (const auto &[id, entry] : m_entries)
        all.push_back(entry.record);
    return all;
}

std::size_t UpstreamDirectory::sizeOfZone(const std::string &zone) const
{
    return static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(), [&zone](const auto &entry) {
                return entry.second.record.availabilityZone == zone;
            }));
}

const std::vector<const UpstreamRecord *> &
UpstreamDirectory::ready(const std::string &service) const
{
    const auto known = m_ready.find(service);
    if (known != m_ready.end())
        return known->second;
    std::vector<const UpstreamRecord *> &list = m_ready[service];
    for (const auto &[id, entry] : m_entries) {
        if (entry.record.service == service && exclusionOf(entry) == UpstreamExclusion::None)
            list.push_back(&entry.record);
    }
    return list;
}

} // namespace Lavenderpick
