#include "lavenderpick/Routing/PrefixIndex.h"

#include <algorithm>
#include <memory>
#include <xxhash.h>

namespace Lavenderpick {

namespace {

constexpr std::int64_t minimumPrefixTokens =
        512; // Shorter prefixes cost more to route than they save.

} // namespace

std::vector<PrefixHash> prefixHashes(std::string_view model, std::string_view prompt,
                                     std::int64_t bytesPerToken)
{
    std::vector<PrefixHash> prefixes;
    const std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t *)> state(XXH3_createState(),
                                                                                 XXH3_freeState);
    XXH3_64bits_reset_withSeed(state.get(), XXH3_64bits(model.data(), model.size()));
    std::size_t hashed = 0;
    for (std::int64_t tokens = minimumPrefixTokens;; tokens += tokens / 2) {
        const auto bytes = static_cast<std::size_t>(tokens * bytesPerToken);
        if (bytes > prompt.size())
            return prefixes;
        XXH3_64bits_update(state.get(), prompt.data() + hashed, bytes - hashed);
        hashed = bytes;
        prefixes.push_back({ XXH3_64bits_digest(state.get()), tokens });
    }
}

PrefixIndex::PrefixIndex(std::size_t maximumPrefixes, Duration lifetime)
    : m_maximumPrefixes(maximumPrefixes)
    , m_lifetime(lifetime)
{ }

std::vector<PrefixHolder> PrefixIndex::find(std::span<const PrefixHash> prefixes,
                                            TimePoint now) const
{
    std::vector<PrefixHolder> holders;
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        const auto found = m_prefixes.find(prefix->hash);
        if (found == m_prefixes.end())
            continue;
        for (const Holder &holder : found->second.holders) {
            const bool listed =
                    std::any_of(holders.begin(), holders.end(), [&holder](const auto &other) {
                        return other.upstream == holder.upstream;
                    });
            if (!listed && now - holder.confirmedAt < m_lifetime
                && holders.size() < holdersPerPrefix)
                holders.push_back({ .upstream = holder.upstream, .tokens = prefix->tokens });
        }
    }
    return holders;
}

std::vector<PrefixHolder> PrefixIndex::findAll(std::span<const PrefixHash> prefixes,
                                               TimePoint now) const
{
    std::vector<PrefixHolder> holders;
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        const auto found = m_prefixes.find(prefix->hash);
        if (found == m_prefixes.end())
            continue;
        for (const Holder &holder : found->second.holders) {
            if (now - holder.confirmedAt < m_lifetime)
                holders.push_back({ holder.upstream, prefix->tokens, holder.confirmedAt });
        }
    }
    return holders;
}

PrefixIndex::CachedPrefix &PrefixIndex::findOrInsert(std::uint64_t hash)
{
    const auto found = m_prefixes.find(hash);
    if (found != m_prefixes.end()) {
        m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, found->second.lruPosition);
        return found->second;
    }
    if (m_prefixes.size() >= m_maximumPrefixes) {
        m_prefixes.erase(m_lruOrder.front());
        m_lruOrder.pop_front();
    }
    m_lruOrder.push_back(hash);
    return m_prefixes.emplace(hash, CachedPrefix { {}, std::prev(m_lruOrder.end()) }).first->second;
}

void PrefixIndex::recordPrompt(std::span<const PrefixHash> prefixes, const std::string &upstream,
                               TimePoint now)
{
    for (const PrefixHash &prefix : prefixes) {
        std::vector<Holder> &holders = findOrInsert(prefix.hash).holders;
        std::erase_if(holders,
                      [&upstream](const Holder &holder) { return holder.upstream == upstream; });
        if (holders.size() >= holdersPerPrefix)
            holders.erase(holders.begin()); // The least recently confirmed one.
        holders.push_back({ upstream, now });
    }
}

void PrefixIndex::recordCachedTokens(std::span<const PrefixHash> prefixes,
                                     const std::string &upstream, std::int64_t cachedTokens)
{
    for (const PrefixHash &prefix : prefixes) {
        if (prefix.tokens > cachedTokens)
            recordEviction(prefix.hash, upstream);
    }
}

void PrefixIndex::recordEviction(std::uint64_t hash, const std::string &upstream)
{
    const auto found = m_prefixes.find(hash);
    if (found == m_prefixes.end())
        return;
    std::erase_if(found->second.holders,
                  [&upstream](const Holder &holder) { return holder.upstream == upstream; });
    if (!found->second.holders.empty())
        return;
    m_lruOrder.erase(found->second.lruPosition);
    m_prefixes.erase(found);
}

void PrefixIndex::forget(const std::string &upstream)
{
    for (auto prefix = m_prefixes.begin(); prefix != m_prefixes.end();) {
        const std::uint64_t hash = prefix->first;
        ++prefix;
        recordEviction(hash, upstream);
    }
}

} // namespace Lavenderpick
