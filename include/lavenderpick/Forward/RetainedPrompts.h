#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Forward/RequestDialect.h"
#include "lavenderpick/Routing/PrefixIndex.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

/// A prefix that an upstream prefilled some time ago.
struct RetainedPrefix
{
    std::int64_t tokens { 0 };
    Duration age {}; ///< Since the upstream last prefilled it.

    bool operator==(const RetainedPrefix &) const = default;
};

/// Times until a first event, predicted and measured, in milliseconds.
struct FirstEventComparison
{
    double predictedWithPrefixMs { 0 };
    double predictedWithoutPrefixMs { 0 };
    double measuredMs { 0 };
};

enum class PrefixOutcome {
    Hit,
    Miss,
    Unclear, ///< The predictions are too close to each other.
};

/// Estimates how many tokens of a prompt an upstream still holds from earlier prompts.
///
/// Engines evict without notice. The chance that a prefix is still there is therefore learned, for
/// a few classes of age, from the first events of requests whose prefix was recorded there. Not
/// safe for concurrent use.
class RetainedPrompts
{
public:
    /// Prefixes older than `retention` are ignored. Nothing is retained if it is zero.
    explicit RetainedPrompts(Duration retention);

    bool isEnabled() const { return m_retention > Duration {}; }

    /// Hashes of the prompt's prefixes that end with a part and are worth recording. They form a
    /// chain over the model and the ids and lengths of the parts. Empty if not enabled.
    std::vector<PrefixHash> prefixes(std::string_view model,
                                     std::span<const PromptPart> parts) const;

    /// Tokens expected in the cache of each upstream that prefilled one of the prefixes.
    std::map<std::string, std::int64_t> expectedCachedTokens(std::span<const PrefixHash> prefixes,
                                                             TimePoint now) const;
    std::int64_t expectedCachedTokens(const std::string &upstream,
                                      std::span<const PrefixHash> prefixes, TimePoint now) const;

    /// The prefix with the most expected tokens at the upstream.
    std::optional<RetainedPrefix> find(const std::string &upstream,
                                       std::span<const PrefixHash> prefixes, TimePoint now) const;

    /// The upstream has prefilled the whole prompt.
    void recordPrefill(std::span<const PrefixHash> prefixes, const std::string &upstream,
                       TimePoint now);

    /// Learns from the first event of a request whose prefix the upstream had prefilled before.
    PrefixOutcome recordFirstEvent(const RetainedPrefix &prefix,
                                   const FirstEventComparison &comparison);

    /// The upstream restarted or is gone.
    void forget(const std::string &upstream);

    /// Learned chance that a prefix of this age is still there.
    double chance(Duration age) const;

    std::size_t size() const { return m_index.size(); }

    static constexpr std::size_t maximumPrefixes = 16'384;

private:
    // Few observations must be able to change the start value: a quarter, worth four observations.
    struct AgeClass
    {
        double hits { 1 };
        double misses { 3 };
    };

    static std::size_t ageClass(Duration age);
    std::int64_t expectedTokens(const PrefixHolder &holder, TimePoint now) const;

    Duration m_retention;
    PrefixIndex m_index;
    std::array<AgeClass, 6> m_ageClasses {};
};

} // namespace Lavenderpick
