#include "lavenderpick/Routing/CostModel.h"

#include <algorithm>
#include <cmath>

namespace Lavenderpick {

namespace {

constexpr double learningRate = 0.1;
constexpr double maximumSampleRatio = 4; // Larger deviations come from stalls, not from rates.
constexpr double maximumFactor = 8;
constexpr double forgettingFactor = 0.99; // A sample's weight halves after about 70 later samples.
constexpr double minimumFitSamples = 20;
constexpr double maximumRateRatio = 20; // Of a fitted rate to the initial one.

void updateFactor(double &factor, double ratio)
{
    const double bounded = std::clamp(ratio, 1 / maximumSampleRatio, maximumSampleRatio);
    factor *= std::exp(learningRate * std::log(bounded));
    factor = std::clamp(factor, 1 / maximumFactor, maximumFactor);
}

double boundedRate(double rate, double initial)
{
    return std::clamp(rate, initial / maximumRateRatio, initial * maximumRateRatio);
}

// Number of token pairs in attention, as in `n*(n+2*cached)`.
double attentionPairs(double tokens, double cached)
{
    return tokens * (tokens + 2 * cached);
}

} // namespace

CostModel::CostModel(const EngineRates &initial)
    : m_initial(initial)
{ }

const EngineRates &CostModel::modelRates(const std::string &model) const
{
    const auto found = m_models.find(model);
    return found == m_models.end() ? m_initial : found->second.rates;
}

CostModel::EngineFactors CostModel::findFactors(const std::string &upstream,
                                                const std::string &model) const
{
    const auto engine = m_engines.find(upstream);
    if (engine == m_engines.end())
        return {};
    const auto found = engine->second.find(model);
    return found == engine->second.end() ? EngineFactors {} : found->second;
}

EngineRates CostModel::rates(const std::string &upstream, const std::string &model) const
{
    EngineRates rates = modelRates(model);
    const EngineFactors factors = findFactors(upstream, model);
    rates.prefillSecondsPerToken *= factors.prefill;
    rates.prefillSecondsPerTokenSquared *= factors.prefill;
    rates.decodeSecondsPerToken *= factors.decode;
    return rates;
}

PredictedCost CostModel::predict(const std::string &upstream, const std::string &model,
                                 std::int64_t promptTokens, std::int64_t cachedTokens,
                                 std::int64_t outputTokens) const
{
    const EngineRates engineRates = rates(upstream, model);
    const auto cached = static_cast<double>(std::min(cachedTokens, promptTokens));
    const double tokens = static_cast<double>(promptTokens) - cached;
    return {
        .prefillSeconds = engineRates.prefillSecondsPerToken * tokens
                + engineRates.prefillSecondsPerTokenSquared * attentionPairs(tokens, cached),
        .decodeSeconds = engineRates.decodeSecondsPerToken * static_cast<double>(outputTokens),
        .kvTokenCount = promptTokens + outputTokens,
    };
}

double CostModel::backlogSecondsPerToken(const std::string &upstream,
                                         const std::string &model) const
{
    return rates(upstream, model).prefillSecondsPerToken;
}

void CostModel::observePrefill(const std::string &upstream, const std::string &model,
                               std::int64_t promptTokens, std::int64_t cachedTokens,
                               double elapsedSeconds, double predictedWaitSeconds)
{
    const double seconds = elapsedSeconds - predictedWaitSeconds;
    if (seconds <= elapsedSeconds / 2 || promptTokens <= cachedTokens)
        return;
    const PredictedCost cost = predict(upstream, model, promptTokens, cachedTokens, 0);
    updateFactor(factors(upstream, model).prefill, seconds / cost.prefillSeconds);

    const auto cached = static_cast<double>(cachedTokens);
    const double tokens = static_cast<double>(promptTokens) - cached;
    const double bounded = std::clamp(seconds, cost.prefillSeconds / maximumSampleRatio,
                                      cost.prefillSeconds * maximumSampleRatio);
    addSample(fit(model), tokens, attentionPairs(tokens, cached), bounded);
}

void CostModel::addSample(ModelFit &fit, double tokens, double pairs, double seconds) const
{
    const double x = tokens / seconds;
    const double y = pairs / seconds;
    for (double *sum : { &fit.xx, &fit.xy, &fit.yy, &fit.xt, &fit.yt, &fit.samples })
        *sum *= forgettingFactor;
    fit.xx += x * x;
    fit.xy += x * y;
    fit.yy += y * y;
    fit.xt += x;
    fit.yt += y;
    fit.samples += 1;
    const double determinant = fit.xx * fit.yy - fit.xy * fit.xy;
    // Prompts of nearly equal length do not determine two rates.
    if (fit.samples < minimumFitSamples || determinant < 1e-3 * fit.xx * fit.yy)
        return;
    const double perToken = (fit.xt * fit.yy - fit.yt * fit.xy) / determinant;
    const double perPair = (fit.yt * fit.xx - fit.xt * fit.xy) / determinant;
    if (perToken <= 0 || perPair <= 0)
        return;
    fit.rates.prefillSecondsPerToken = boundedRate(perToken, m_initial.prefillSecondsPerToken);
    fit.rates.prefillSecondsPerTokenSquared =
            boundedRate(perPair, m_initial.prefillSecondsPerTokenSquared);
}

void CostModel::observeDecode(const std::string &upstream, const std::string &model,
                              std::int64_t tokens, double elapsedSeconds)
{
    if (tokens <= 0 || elapsedSeconds <= 0)
        return;
    const double perToken = elapsedSeconds / static_cast<double>(tokens);
    updateFactor(factors(upstream, model).decode,
                 perToken / rates(upstream, model).decodeSecondsPerToken);
}

CostModel::ModelFit &CostModel::fit(const std::string &model)
{
    return m_models.try_emplace(model, ModelFit { .rates = m_initial }).first->second;
}

CostModel::EngineFactors &CostModel::factors(const std::string &upstream, const std::string &model)
{
    return m_engines[upstream][model];
}

void CostModel::forget(const std::string &upstream)
{
    m_engines.erase(upstream);
}

} // namespace Lavenderpick
