#include "lavenderpick/Forward/EngineFormula.h"

namespace Lavenderpick {

double readMs(const EngineParameters &engine, std::int64_t promptTokens, int parts)
{
    const auto tokens = static_cast<double>(promptTokens);
    const double millionPairs = tokens * tokens / 2 / 1e6;
    return (tokens / engine.prefillTokensPerMs + millionPairs * engine.prefillMsPerMillionPairs)
            / parts;
}

double writingPassMs(const EngineParameters &engine, int writers, std::int64_t contextTokens)
{
    if (writers == 0)
        return 0;
    const double stepMs = engine.stepMs + engine.stepMsPerSequence * writers
            + engine.stepMsPerThousandContextTokens * static_cast<double>(contextTokens) / 1000;
    return stepMs * engine.tokensPerPass;
}

double generationWeight(const GenerationSize &size)
{
    constexpr double writtenTokenWeight = 10;
    return static_cast<double>(size.promptTokens)
            + writtenTokenWeight * static_cast<double>(size.maximumOutputTokens);
}

} // namespace Lavenderpick
