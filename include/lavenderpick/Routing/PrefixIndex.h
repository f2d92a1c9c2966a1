#pragma once

#include "lavenderpick/Base/Clock.h"

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Lavenderpick {

/// Hash and length of a prompt's prefix.
struct PrefixHash
{
    std::uint64_t hash { 0 };
    std::int64_t tokens { 0 };

    bool operator==(const PrefixHash &) const = default;
};

/// Hashes of a prompt's prefixes, shortest first; each is longer than the previous one by half.
/// The hashes depend on `model`, since models do not share caches.
std::vector<PrefixHash> prefixHashes(std::string_view model, std::string_view prompt,
                                     std::int64_t bytesPerToken = 4);

/// An upstream that probably has a prompt's prefix in its KV cache.
struct PrefixHolder
{
    std::string upstream;
    std::int64_t tokens { 0 }; ///< Prompt tokens that are probably cached.
    TimePoint confirmedAt {};  ///< When the upstream last prefilled them; only from `findAll`.

    bool operator==(const PrefixHolder &) const = default;
};

/// Records which upstreams have the prefixes of recent prompts in their KV cache. Bounded; not safe
/// for concurrent use.
///
/// Engines evict without notice, and cache events are late or missing. A record therefore expires
/// unless it is confirmed, and is corrected by the cached tokens that an attempt reports.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t maximumPrefixes = 65'536, Duration lifetime = Seconds(600));

    /// The longest known prefix per upstream, for at most `holdersPerPrefix` upstreams.
    std::vector<PrefixHolder> find(std::span<const PrefixHash> prefixes, TimePoint now) const;

    /// Each known prefix and holder, longest prefix first, with the times of their prefill.
    std::vector<PrefixHolder> findAll(std::span<const PrefixHash> prefixes, TimePoint now) const;

    /// The upstream has prefilled the prompt.
    void recordPrompt(std::span<const PrefixHash> prefixes, const std::string &upstream,
                      TimePoint now);

    /// The upstream had only `cachedTokens` of the prompt in its cache before prefill.
    void recordCachedTokens(std::span<const PrefixHash> prefixes, const std::string &upstream,
                            std::int64_t cachedTokens);

    /// Handles a cache event; ignores an unknown prefix.
    void recordEviction(std::uint64_t hash, const std::string &upstream);

    /// The upstream restarted or is gone, so its cache is empty.
    void forget(const std::string &upstream);

    std::size_t size() const { return m_prefixes.size(); }

    static constexpr std::size_t holdersPerPrefix = 4;

private:
    struct Holder
    {
        std::string upstream;
        TimePoint confirmedAt;
    };
    struct CachedPrefix
    {
        std::vector<Holder> holders;
        std::list<std::uint64_t>::iterator lruPosition;
    };

    CachedPrefix &findOrInsert(std::uint64_t hash);

    std::size_t m_maximumPrefixes;
    Duration m_lifetime;
    std::unordered_map<std::uint64_t, CachedPrefix> m_prefixes;
    std::list<std::uint64_t> m_lruOrder; ///< Least recently used first.
};

} // namespace Lavenderpick
