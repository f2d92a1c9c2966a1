#include "lavenderpick/Forward/EngineLatencyModel.h"

#include <algorithm>

namespace Lavenderpick {

double prefillMs(const EngineParameters &engine, std::int64_t promptTokens, int parts)
{
    const auto tokens = static_cast<double>(promptTokens);
    const double millionPairs = tokens * tokens / 2 / 1e6;
    return (tokens / engine.prefillTokensPerMs + millionPairs * engine.prefillMsPerMillionPairs)
            / parts;
}

double cachedPrefillMs(const EngineParameters &engine, std::int64_t promptTokens,
                       std::int64_t cachedTokens)
{
    // The cached tokens form the beginning, so what they cost is their own tokens and pairs.
    return prefillMs(engine, promptTokens, 1)
            - prefillMs(engine, std::clamp<std::int64_t>(cachedTokens, 0, promptTokens), 1);
}

double decodePassMs(const EngineParameters &engine, int decodingRequests,
                    std::int64_t contextTokens)
{
    if (decodingRequests == 0)
        return 0;
    const double stepMs = engine.stepMs + engine.stepMsPerSequence * decodingRequests
            + engine.stepMsPerThousandContextTokens * static_cast<double>(contextTokens) / 1000;
    return stepMs * engine.tokensPerPass;
}

double generationWeight(const GenerationSize &size)
{
    constexpr double outputTokenWeight = 10;
    return static_cast<double>(size.promptTokens)
            + outputTokenWeight * static_cast<double>(size.maximumOutputTokens);
}

} // namespace Lavenderpick
