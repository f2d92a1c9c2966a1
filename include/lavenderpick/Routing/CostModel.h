#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace Lavenderpick {

/// Seconds of engine time per token.
struct EngineRates
{
    double prefillSecondsPerToken { 30e-6 };         ///< `a` of `a*n + b*n*(n+2*cached)`.
    double prefillSecondsPerTokenSquared { 60e-12 }; ///< `b`.
    double decodeSecondsPerToken { 0.02 };

    bool operator==(const EngineRates &) const = default;
};

/// What a request is predicted to take on an otherwise idle engine.
struct PredictedCost
{
    double prefillSeconds { 0 };
    double decodeSeconds { 0 };
    std::int64_t kvTokenCount { 0 };

    /// Engine time charged to budgets. Decoding shares each step with the whole batch.
    double chargedSeconds() const { return prefillSeconds + decodeSeconds / decodeBatchSize; }

    static constexpr double decodeBatchSize = 32;

    bool operator==(const PredictedCost &) const = default;
};

/// Predicts the cost of requests from rates learned per engine and model. Not safe for concurrent
/// use.
///
/// The shape of the prefill curve is fitted per model over all engines; each engine has a factor on
/// top. One sample moves an engine's factor by at most the learning share of a factor of four, and
/// the factor stays between 1/8 and 8, so that a stalled stream does not distort later routing.
class CostModel
{
public:
    explicit CostModel(const EngineRates &initial = {});

    /// `cachedTokens` of the prompt need no prefill.
    PredictedCost predict(const std::string &upstream, const std::string &model,
                          std::int64_t promptTokens, std::int64_t cachedTokens,
                          std::int64_t outputTokens) const;

    /// Seconds per token of mixed backlog on the engine.
    double backlogSecondsPerToken(const std::string &upstream, const std::string &model) const;

    /// Reports the time from sending to the first token. A sample whose `predictedWaitSeconds` is
    /// more than half of it says little about the engine's rate and is ignored.
    void observePrefill(const std::string &upstream, const std::string &model,
                        std::int64_t promptTokens, std::int64_t cachedTokens, double elapsedSeconds,
                        double predictedWaitSeconds);

    /// Reports progress of a stream: `tokens` in `elapsedSeconds`.
    void observeDecode(const std::string &upstream, const std::string &model, std::int64_t tokens,
                       double elapsedSeconds);

    EngineRates rates(const std::string &upstream, const std::string &model) const;

    /// Forgets an engine that is gone.
    void forget(const std::string &upstream);

private:
    /// Sums of a least-squares fit of seconds over (n, n*(n+2*cached)), weighted by 1/seconds^2 so
    /// that short prompts count as much as long ones, with exponential forgetting.
    struct ModelFit
    {
        EngineRates rates;
        double xx { 0 }, xy { 0 }, yy { 0 }, xt { 0 }, yt { 0 }, samples { 0 };
    };
    struct EngineFactors
    {
        double prefill { 1 };
        double decode { 1 };
    };

    ModelFit &fit(const std::string &model);
    EngineFactors &factors(const std::string &upstream, const std::string &model);
    EngineFactors findFactors(const std::string &upstream, const std::string &model) const;
    const EngineRates &modelRates(const std::string &model) const;
    void addSample(ModelFit &fit, double tokens, double pairs, double seconds) const;

    EngineRates m_initial;
    std::unordered_map<std::string, ModelFit> m_models;
    std::unordered_map<std::string, std::unordered_map<std::string, EngineFactors>> m_engines;
};

} // namespace Lavenderpick
