#pragma once

#include <cstdint>
#include <list>
#include <utility>
#include <vector>

namespace Lavenderpick::Load {

/// Rates of the modelled engine; those of the engine stand-in.
struct EngineModelSettings
{
    std::int64_t kvTokenCount { 450'000 };
    std::int64_t tokenBudget { 2'048 }; ///< Prefill and decode tokens of one step.
    double stepSeconds { 0.02 };
    double prefillPerToken { 15e-6 };
    double attentionPerPair { 0.05e-9 };
    bool shortFirst { true };
    /// Share of a step's budget that long prefill keeps while short prefill is waiting.
    double longShare { 0.2 };
};

/// One request on one engine.
struct EngineSequence
{
    std::uint64_t id { 0 };
    std::int64_t promptTokens { 0 };  ///< To prefill here.
    std::int64_t contextTokens { 0 }; ///< Before them, cached or on other engines.
    std::int64_t outputTokens { 0 };  ///< 0 for a segment that is only prefilled.
    std::int64_t kvTokenCount { 0 };  ///< 0 when a reservation holds the memory.
    int rank { 0 };                   ///< Order of service; 0 is a short prompt.

    std::int64_t prefilled { 0 };
    std::int64_t produced { 0 };
};

/// What one step did.
struct EngineStep
{
    double seconds { 0 };
    std::vector<std::uint64_t> firstTokens {}; ///< Or a segment's prefill.
    std::vector<std::uint64_t> finished {};
    std::uint64_t decoded { 0 };
};

/// Continuous batching with a token budget a step, chunked prefill and KV memory. A queueing model
/// for measurements, without any content.
class EngineModel
{
public:
    explicit EngineModel(const EngineModelSettings &settings)
        : m_settings(settings)
    { }

    void submit(const EngineSequence &sequence);

    /// Takes `tokens` of memory; false when they are not free.
    bool reserve(std::int64_t tokens);
    void release(std::int64_t tokens) { m_kvTokensInUse -= tokens; }

    /// Removes all work and returns its ids.
    std::vector<std::uint64_t> crash();

    bool hasWork() const { return !m_running.empty() || !m_waiting.empty(); }
    EngineStep step();

    std::int64_t kvTokensInUse() const { return m_kvTokensInUse; }
    std::int64_t running() const { return static_cast<std::int64_t>(m_running.size()); }
    std::int64_t waiting() const { return static_cast<std::int64_t>(m_waiting.size()); }
    std::int64_t backlog(bool shortOnly) const;
    double lastStepSeconds() const { return m_lastStep; }

    /// Caches a prefix group's leading tokens and returns how many were cached before.
    std::int64_t usePrefix(int group, std::int64_t tokens);

    /// Time to the first token on an idle engine.
    static double idlePrefillSeconds(const EngineModelSettings &settings, std::int64_t tokens,
                                     std::int64_t context);

    /// Engine time that a prompt takes when every step carries a full budget.
    static double workSeconds(const EngineModelSettings &settings, std::int64_t tokens);

private:
    void admit();
    double prefill(EngineSequence &sequence, std::int64_t budget, std::int64_t &used);
    double prefillAll(std::int64_t budget, std::vector<EngineSequence *> &completed);

    EngineModelSettings m_settings;
    std::list<EngineSequence> m_waiting;
    std::list<EngineSequence> m_running;
    std::list<std::pair<int, std::int64_t>> m_prefixes; ///< Least recently used first.
    std::int64_t m_kvTokensInUse { 0 };
    double m_lastStep { 0 };
};

} // namespace Lavenderpick::Load
