#include "lavenderpick/Forward/RetainedPrompts.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Lavenderpick {

namespace {

// Engines prefill shorter prefixes within a few milliseconds.
constexpr std::int64_t minimumPrefixTokens = 512;
// Longer than any context; keeps sums of announced lengths from overflowing.
constexpr std::int64_t maximumPrefixTokens = std::int64_t { 1 } << 32;
// Bounds the work for a request with a long list of parts.
constexpr std::size_t maximumParts = 64;
// Scheduling passes scatter first events by about this much.
constexpr double minimumDifferenceMs = 20;
// Older observations lose weight, so that the chance follows changes of the engines' load.
constexpr double maximumObservations = 64;
constexpr Duration firstAgeLimit { Seconds(1) };
constexpr int ageLimitFactor = 4;

} // namespace

RetainedPrompts::RetainedPrompts(Duration retention)
    : m_retention(retention)
    , m_index(maximumPrefixes, retention)
{ }

std::vector<PrefixHash> RetainedPrompts::prefixes(std::string_view model,
                                                  std::span<const PromptPart> parts) const
{
    std::vector<PrefixHash> result;
    if (!isEnabled())
        return result;
    std::uint64_t hash = XXH3_64bits(model.data(), model.size());
    std::int64_t tokens = 0;
    for (const PromptPart &part : parts.first(std::min(parts.size(), maximumParts))) {
        if (part.tokens <= 0 || part.tokens > maximumPrefixTokens - tokens)
            break;
        tokens += part.tokens;
        hash = XXH3_64bits_withSeed(part.id.data(), part.id.size(), hash);
        hash = XXH3_64bits_withSeed(&part.tokens, sizeof(part.tokens), hash);
        if (tokens >= minimumPrefixTokens)
            result.push_back({ hash, tokens });
    }
    return result;
}

std::int64_t RetainedPrompts::expectedTokens(const PrefixHolder &holder, TimePoint now) const
{
    return std::llround(static_cast<double>(holder.tokens) * chance(now - holder.confirmedAt));
}

std::map<std::string, std::int64_t>
RetainedPrompts::expectedCachedTokens(std::span<const PrefixHash> prefixes, TimePoint now) const
{
    std::map<std::string, std::int64_t> tokens;
    if (prefixes.empty())
        return tokens;
    for (const PrefixHolder &holder : m_index.findAll(prefixes, now)) {
        std::int64_t &most = tokens[holder.upstream];
        most = std::max(most, expectedTokens(holder, now));
    }
    return tokens;
}

std::int64_t RetainedPrompts::expectedCachedTokens(const std::string &upstream,
                                                   std::span<const PrefixHash> prefixes,
                                                   TimePoint now) const
{
    const auto prefix = find(upstream, prefixes, now);
    return prefix ? std::llround(static_cast<double>(prefix->tokens) * chance(prefix->age)) : 0;
}

std::optional<RetainedPrefix> RetainedPrompts::find(const std::string &upstream,
                                                    std::span<const PrefixHash> prefixes,
                                                    TimePoint now) const
{
    std::optional<RetainedPrefix> best;
    std::int64_t most = -1;
    if (prefixes.empty())
        return best;
    for (const PrefixHolder &holder : m_index.findAll(prefixes, now)) {
        const std::int64_t expected = expectedTokens(holder, now);
        if (holder.upstream != upstream || expected <= most)
            continue;
        most = expected;
        best = RetainedPrefix { .tokens = holder.tokens, .age = now - holder.confirmedAt };
    }
    return best;
}

void RetainedPrompts::recordPrefill(std::span<const PrefixHash> prefixes,
                                    const std::string &upstream, TimePoint now)
{
    if (isEnabled())
        m_index.recordPrompt(prefixes, upstream, now);
}

PrefixOutcome RetainedPrompts::recordFirstEvent(const RetainedPrefix &prefix,
                                                const FirstEventComparison &comparison)
{
    const double savedMs = comparison.predictedWithoutPrefixMs - comparison.predictedWithPrefixMs;
    if (savedMs < minimumDifferenceMs)
        return PrefixOutcome::Unclear;
    const bool isHit = std::abs(comparison.measuredMs - comparison.predictedWithPrefixMs)
            < std::abs(comparison.measuredMs - comparison.predictedWithoutPrefixMs);
    AgeClass &entry = m_ageClasses[ageClass(prefix.age)];
    (isHit ? entry.hits : entry.misses) += 1;
    if (entry.hits + entry.misses > maximumObservations) {
        entry.hits /= 2;
        entry.misses /= 2;
    }
    return isHit ? PrefixOutcome::Hit : PrefixOutcome::Miss;
}

void RetainedPrompts::forget(const std::string &upstream)
{
    m_index.forget(upstream);
}

std::size_t RetainedPrompts::ageClass(Duration age)
{
    std::size_t index = 0;
    constexpr std::size_t last = std::tuple_size_v<decltype(m_ageClasses)> - 1;
    for (Duration limit = firstAgeLimit; index < last && age >= limit; limit *= ageLimitFactor)
        ++index;
    return index;
}

double RetainedPrompts::chance(Duration age) const
{
    const AgeClass &entry = m_ageClasses[ageClass(age)];
    return entry.hits / (entry.hits + entry.misses);
}

} // namespace Lavenderpick
