#include "lavenderpick/Forward/LoadLedger.h"

#include <algorithm>

namespace Lavenderpick {

double UpstreamLoad::readWaitMs(TimePoint now) const
{
    return m_readUntil > now ? inMilliseconds(m_readUntil - now) : 0;
}

Duration UpstreamLoad::tightestGap() const
{
    Duration tightest = Duration::max();
    for (const auto &[key, work] : m_open) {
        if (work.writes && work.gapObjective > Duration {})
            tightest = std::min(tightest, work.gapObjective);
    }
    return tightest;
}

double UpstreamLoad::readStretchMs(TimePoint now) const
{
    return m_readUntil > now ? inMilliseconds(m_readUntil - m_readSince) : 0;
}

void UpstreamLoad::add(const PlacementKey &key, const OpenWork &work, TimePoint now)
{
    OpenWork added = work;
    if (m_readUntil <= now)
        m_readSince = now;
    m_readUntil = std::max(now, m_readUntil) + fromMilliseconds(work.readMs);
    added.readUntil = m_readUntil;
    m_open[key] = added;
    m_memoryTokens += added.memoryTokens;
}

void UpstreamLoad::markRead(const PlacementKey &key, TimePoint now)
{
    const auto found = m_open.find(key);
    if (found == m_open.end() || !found->second.reading)
        return;
    if (!found->second.writes) {
        remove(key, now);
        return;
    }
    found->second.reading = false;
    ++m_writers;
    m_contextTokens += found->second.contextTokens;
    shortenRead(now);
}

void UpstreamLoad::remove(const PlacementKey &key, TimePoint now)
{
    const auto found = m_open.find(key);
    if (found == m_open.end())
        return;
    const OpenWork work = found->second;
    m_open.erase(found);
    m_memoryTokens -= work.memoryTokens;
    if (!work.reading) {
        --m_writers;
        m_contextTokens -= work.contextTokens;
    }
    shortenRead(now);
}

void UpstreamLoad::shortenRead(TimePoint now)
{
    double remainingMs = 0;
    for (const auto &[key, work] : m_open) {
        if (work.reading)
            remainingMs += work.readMs;
    }
    m_readUntil = std::min(m_readUntil, now + fromMilliseconds(remainingMs));
}

void LoadLedger::begin(const PlacementKey &key, const Placement &placement, TimePoint now)
{
    end(key, now);
    for (const PlacedPart &part : placement.parts) {
        m_loads[part.upstream].add(key,
                                   { .readMs = part.readMs,
                                     .weight = generationWeight(placement.size),
                                     .gapObjective = placement.gapObjective,
                                     .firstDue = placement.firstDue,
                                     .memoryTokens = part.memoryTokens,
                                     .contextTokens = placement.size.promptTokens,
                                     .writes = part.writes },
                                   now);
    }
    m_placements[key] = placement;
}

void LoadLedger::markRead(const PlacementKey &key, TimePoint now)
{
    const auto found = m_placements.find(key);
    if (found == m_placements.end())
        return;
    for (const PlacedPart &part : found->second.parts)
        m_loads[part.upstream].markRead(key, now);
}

void LoadLedger::end(const PlacementKey &key, TimePoint now)
{
    const auto found = m_placements.find(key);
    if (found == m_placements.end())
        return;
    for (const PlacedPart &part : found->second.parts) {
        const auto load = m_loads.find(part.upstream);
        if (load == m_loads.end())
            continue;
        load->second.remove(key, now);
        if (load->second.isIdle())
            m_loads.erase(load);
    }
    m_placements.erase(found);
}

void LoadLedger::expire(TimePoint now)
{
    std::vector<PlacementKey> due;
    for (const auto &[key, placement] : m_placements) {
        if (placement.expires <= now)
            due.push_back(key);
    }
    for (const PlacementKey &key : due)
        end(key, now);
}

void LoadLedger::forgetGateway(const std::string &gateway, TimePoint now)
{
    std::vector<PlacementKey> keys;
    for (auto entry = m_placements.lower_bound({ .gateway = gateway });
         entry != m_placements.end() && entry->first.gateway == gateway; ++entry)
        keys.push_back(entry->first);
    for (const PlacementKey &key : keys)
        end(key, now);
}

std::vector<LoadLedger::Known> LoadLedger::placementsOf(const std::string &gateway) const
{
    std::vector<Known> known;
    for (auto entry = m_placements.lower_bound({ .gateway = gateway });
         entry != m_placements.end() && entry->first.gateway == gateway; ++entry) {
        const std::map<PlacementKey, OpenWork> &open =
                load(entry->second.parts.front().upstream).open();
        const auto work = open.find(entry->first);
        known.push_back({ .key = entry->first,
                          .placement = entry->second,
                          .read = work != open.end() && !work->second.reading });
    }
    return known;
}

const UpstreamLoad &LoadLedger::load(const std::string &upstream) const
{
    static const UpstreamLoad none;
    const auto found = m_loads.find(upstream);
    return found == m_loads.end() ? none : found->second;
}

} // namespace Lavenderpick
