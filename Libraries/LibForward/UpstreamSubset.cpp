#include "lavenderpick/Forward/UpstreamSubset.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace Lavenderpick {

const std::vector<const UpstreamRecord *> &
UpstreamSubset::select(const UpstreamDirectory &directory, const std::string &service)
{
    const std::vector<const UpstreamRecord *> &ready = directory.ready(service);
    if (ready.size() <= maximumSize)
        return ready;
    Selection &selection = m_selections[service];
    if (selection.generation != directory.generation() || selection.ownZoneOnly != m_ownZoneOnly
        || selection.upstreams.empty())
        selection = { .generation = directory.generation(),
                      .ownZoneOnly = m_ownZoneOnly,
                      .upstreams = computeSelection(ready) };
    return selection.upstreams;
}

std::vector<const UpstreamRecord *>
UpstreamSubset::computeSelection(const std::vector<const UpstreamRecord *> &ready) const
{
    using Ranked = std::pair<std::uint64_t, const UpstreamRecord *>;
    const std::uint64_t seed = XXH3_64bits(m_gateway.data(), m_gateway.size());
    std::vector<Ranked> own;
    std::vector<Ranked> other;
    for (const UpstreamRecord *record : ready) {
        const std::uint64_t rank = XXH3_64bits_withSeed(record->id.data(), record->id.size(), seed);
        (record->availabilityZone == m_availabilityZone ? own : other).emplace_back(rank, record);
    }
    const auto byRank = [](const Ranked &left, const Ranked &right) {
        return std::tie(left.first, left.second->id) < std::tie(right.first, right.second->id);
    };
    std::sort(own.begin(), own.end(), byRank);
    std::sort(other.begin(), other.end(), byRank);
    if (m_ownZoneOnly && !own.empty())
        other.clear();
    const auto ownTarget = static_cast<std::size_t>(ownZoneShare * maximumSize);
    // If one group has too few upstreams, the other supplies the rest.
    const std::size_t fromOther =
            std::min(other.size(), maximumSize - std::min(own.size(), ownTarget));
    const std::size_t fromOwn = std::min(own.size(), maximumSize - fromOther);
    std::vector<const UpstreamRecord *> selection;
    for (std::size_t index = 0; index < fromOwn; ++index)
        selection.push_back(own[index].second);
    for (std::size_t index = 0; index < fromOther; ++index)
        selection.push_back(other[index].second);
    return selection;
}

} // namespace Lavenderpick
