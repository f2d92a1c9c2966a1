#include "lavenderpick/Routing/PrefixIndex.h"

#include <algorithm>
#include <memory>
#include <xxhash.h>

namespace Lavenderpick {

namespace {

constexpr std::int64_t firstPointTokens = 512; // Shorter prefixes save less than routing costs.

} // namespace

std::vector<PrefixPoint> prefixPoints(std::string_view model, std::string_view prompt,
                                      std::int64_t bytesPerToken)
{
    std::vector<PrefixPoint> points;
    const std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t *)> state(XXH3_createState(),
                                                                                 XXH3_freeState);
    XXH3_64bits_reset_withSeed(state.get(), XXH3_64bits(model.data(), model.size()));
    std::size_t hashed = 0;
    for (std::int64_t tokens = firstPointTokens;; tokens += tokens / 2) {
        const auto bytes = static_cast<std::size_t>(tokens * bytesPerToken);
        if (bytes > prompt.size())
            return points;
        XXH3_64bits_update(state.get(), prompt.data() + hashed, bytes - hashed);
        hashed = bytes;
        points.push_back({ XXH3_64bits_digest(state.get()), tokens });
    }
}

PrefixIndex::PrefixIndex(std::size_t maximumPrefixes, Duration lifetime)
    : m_maximumPrefixes(maximumPrefixes)
    , m_lifetime(lifetime)
{ }

std::vector<PrefixHolder> PrefixIndex::find(std::span<const PrefixPoint> points,
                                            TimePoint now) const
{
    std::vector<PrefixHolder> holders;
    for (auto point = points.rbegin(); point != points.rend(); ++point) {
        const auto place = m_places.find(point->hash);
        if (place == m_places.end())
            continue;
        for (const Holder &holder : place->second.holders) {
            const bool listed =
                    std::any_of(holders.begin(), holders.end(), [&holder](const auto &other) {
                        return other.upstream == holder.upstream;
                    });
            if (!listed && now - holder.confirmed < m_lifetime && holders.size() < holdersPerPrefix)
                holders.push_back({ holder.upstream, point->tokens });
        }
    }
    return holders;
}

PrefixIndex::Place &PrefixIndex::touch(std::uint64_t hash)
{
    const auto found = m_places.find(hash);
    if (found != m_places.end()) {
        m_byAge.splice(m_byAge.end(), m_byAge, found->second.age);
        return found->second;
    }
    if (m_places.size() >= m_maximumPrefixes) {
        m_places.erase(m_byAge.front());
        m_byAge.pop_front();
    }
    m_byAge.push_back(hash);
    return m_places.emplace(hash, Place { {}, std::prev(m_byAge.end()) }).first->second;
}

void PrefixIndex::recordPrompt(std::span<const PrefixPoint> points, const std::string &upstream,
                               TimePoint now)
{
    for (const PrefixPoint &point : points) {
        std::vector<Holder> &holders = touch(point.hash).holders;
        std::erase_if(holders,
                      [&upstream](const Holder &holder) { return holder.upstream == upstream; });
        if (holders.size() >= holdersPerPrefix)
            holders.erase(holders.begin()); // The one that was confirmed longest ago.
        holders.push_back({ upstream, now });
    }
}

void PrefixIndex::recordCachedTokens(std::span<const PrefixPoint> points,
                                     const std::string &upstream, std::int64_t cachedTokens)
{
    for (const PrefixPoint &point : points) {
        if (point.tokens > cachedTokens)
            recordEviction(point.hash, upstream);
    }
}

void PrefixIndex::recordEviction(std::uint64_t hash, const std::string &upstream)
{
    const auto place = m_places.find(hash);
    if (place == m_places.end())
        return;
    std::erase_if(place->second.holders,
                  [&upstream](const Holder &holder) { return holder.upstream == upstream; });
    if (!place->second.holders.empty())
        return;
    m_byAge.erase(place->second.age);
    m_places.erase(place);
}

void PrefixIndex::forget(const std::string &upstream)
{
    for (auto place = m_places.begin(); place != m_places.end();) {
        const std::uint64_t hash = place->first;
        ++place;
        recordEviction(hash, upstream);
    }
}

} // namespace Lavenderpick
