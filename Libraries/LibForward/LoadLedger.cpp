#include "lavenderpick/Forward/LoadLedger.h"

#include <algorithm>

namespace Lavenderpick {

double UpstreamLoad::prefillWaitMs(TimePoint now) const
{
    return m_prefillUntil > now ? inMilliseconds(m_prefillUntil - now) : 0;
}

Duration UpstreamLoad::tightestGap() const
{
    Duration tightest = Duration::max();
    for (const auto &[key, work] : m_open) {
        if (work.decodes && work.gapObjective > Duration {})
            tightest = std::min(tightest, work.gapObjective);
    }
    return tightest;
}

double UpstreamLoad::prefillBusyMs(TimePoint now) const
{
    return m_prefillUntil > now ? inMilliseconds(m_prefillUntil - m_prefillSince) : 0;
}

void UpstreamLoad::add(const PlacementKey &key, const OpenWork &work, TimePoint now)
{
    OpenWork added = work;
    if (m_prefillUntil <= now)
        m_prefillSince = now;
    m_prefillUntil = std::max(now, m_prefillUntil) + fromMilliseconds(work.prefillMs);
    added.prefillUntil = m_prefillUntil;
    m_open[key] = added;
    m_kvCacheTokens += added.kvCacheTokens;
}

void UpstreamLoad::markPrefilled(const PlacementKey &key, TimePoint now)
{
    const auto found = m_open.find(key);
    if (found == m_open.end() || !found->second.prefilling)
        return;
    if (!found->second.decodes) {
        remove(key, now);
        return;
    }
    found->second.prefilling = false;
    found->second.decodingSince = now;
    ++m_decodingRequests;
    m_contextTokens += found->second.contextTokens;
    shortenPrefill(now);
}

void UpstreamLoad::remove(const PlacementKey &key, TimePoint now)
{
    const auto found = m_open.find(key);
    if (found == m_open.end())
        return;
    const OpenWork work = found->second;
    m_open.erase(found);
    m_kvCacheTokens -= work.kvCacheTokens;
    if (!work.prefilling) {
        --m_decodingRequests;
        m_contextTokens -= work.contextTokens;
    }
    shortenPrefill(now);
}

void UpstreamLoad::shortenPrefill(TimePoint now)
{
    double remainingMs = 0;
    for (const auto &[key, work] : m_open) {
        if (work.prefilling)
            remainingMs += work.prefillMs;
    }
    m_prefillUntil = std::min(m_prefillUntil, now + fromMilliseconds(remainingMs));
}

void LoadLedger::begin(const PlacementKey &key, Placement placement, TimePoint now)
{
    end(key, now);
    for (const PlacedPart &part : placement.parts) {
        m_loads[part.upstream].add(key,
                                   { .prefillMs = part.prefillMs,
                                     .weight = generationWeight(placement.size),
                                     .gapObjective = placement.gapObjective,
                                     .firstEventDue = placement.firstEventDue,
                                     .kvCacheTokens = part.kvCacheTokens,
                                     .contextTokens = placement.size.promptTokens,
                                     .outputTokens = placement.size.maximumOutputTokens,
                                     .decodes = part.decodes },
                                   now);
    }
    m_placements[key] = std::move(placement);
}

void LoadLedger::markPrefilled(const PlacementKey &key, TimePoint now)
{
    const auto found = m_placements.find(key);
    if (found == m_placements.end())
        return;
    for (const PlacedPart &part : found->second.parts)
        m_loads[part.upstream].markPrefilled(key, now);
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

std::vector<LoadLedger::OpenPlacement> LoadLedger::openPlacements(const std::string &gateway) const
{
    std::vector<OpenPlacement> known;
    for (auto entry = m_placements.lower_bound({ .gateway = gateway });
         entry != m_placements.end() && entry->first.gateway == gateway; ++entry) {
        const std::map<PlacementKey, OpenWork> &open =
                load(entry->second.parts.front().upstream).open();
        const auto work = open.find(entry->first);
        known.push_back({ .key = entry->first,
                          .placement = entry->second,
                          .prefilled = work != open.end() && !work->second.prefilling });
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
