#pragma once

#include "lavenderpick/Forward/ServingConfiguration.h"

#include <cstdint>

namespace Lavenderpick {

/// Size of one generation, in tokens.
struct GenerationSize
{
    std::int64_t promptTokens { 0 };
    std::int64_t maximumOutputTokens { 0 };

    bool operator==(const GenerationSize &) const = default;
};

/// Milliseconds that an engine takes to prefill one of `parts` equal parts of a prompt. The
/// attention pairs (a token and each one before it) are divided evenly too.
double prefillMs(const EngineParameters &engine, std::int64_t promptTokens, int parts);

/// Milliseconds that an engine takes to prefill a prompt whose first `cachedTokens` it has already.
/// The attention pairs of the other tokens with the cached ones are included.
double cachedPrefillMs(const EngineParameters &engine, std::int64_t promptTokens,
                       std::int64_t cachedTokens);

/// Milliseconds of a pass that decodes `decodingRequests` requests and prefills nothing.
double decodePassMs(const EngineParameters &engine, int decodingRequests,
                    std::int64_t contextTokens);

/// Relative value of a generation: an output token costs about as much as ten prompt tokens.
double generationWeight(const GenerationSize &size);

} // namespace Lavenderpick
