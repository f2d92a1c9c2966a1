#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace Lavenderpick {

/// Seconds of engine time per token. Prefill of `n` tokens behind `cached` ones takes
/// `a*n + b*n*(n+2*cached)`.
struct EngineRates
{
    double prefillSecondsPerToken { 30e-6 };         ///< `a`.
    double prefillSecondsPerTokenSquared { 60e-12 }; ///< `b`, for attention.
    double decodeSecondsPerToken { 0.02 };

    bool operator==(const EngineRates &) const = default;
};

/// Predicted cost of a request on an otherwise idle engine.
struct PredictedCost
{
    double prefillSeconds { 0 };
    double decodeSeconds { 0 };
    std::int64_t kvTokenCount { 0 };

    /// Engine time charged to budgets. Each decode step is shared with the rest of the batch.
    double chargedSeconds() const { return prefillSeconds + decodeSeconds / decodeBatchSize; }

    static constexpr double decodeBatchSize = 32;

    bool operator==(const PredictedCost &) const = default;
};

/// Predicts the cost of requests from rates learned per engine and model. Not safe for concurrent
/// use.
///
/// The prefill curve is fitted per model over all engines, and each engine has a correction factor.
/// One sample changes a factor by at most 4 to the power of the learning rate, and the factor stays
/// between 1/8 and 8, so that a stalled stream does not distort later routing.
class CostModel
{
public:
    explicit CostModel(const EngineRates &initial = {});

    /// The first `cachedTokens` of the prompt need no prefill.
    PredictedCost predict(const std::string &upstream, const std::string &model,
                          std::int64_t promptTokens, std::int64_t cachedTokens,
                          std::int64_t outputTokens) const;

    /// Seconds per token of a prefill backlog of mixed prompts on the engine.
    double backlogSecondsPerToken(const std::string &upstream, const std::string &model) const;

    /// Records the time from sending to the first token. Ignores a sample whose
    /// `predictedWaitSeconds` is at least half of it, which says little about the engine's rate.
    void observePrefill(const std::string &upstream, const std::string &model,
                        std::int64_t promptTokens, std::int64_t cachedTokens, double elapsedSeconds,
                        double predictedWaitSeconds);

    /// Records the progress of a stream: `tokens` in `elapsedSeconds`.
    void observeDecode(const std::string &upstream, const std::string &model, std::int64_t tokens,
                       double elapsedSeconds);

    EngineRates rates(const std::string &upstream, const std::string &model) const;

    /// Removes the factors of an engine that is gone.
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
