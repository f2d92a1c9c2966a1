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

/// Milliseconds that an engine takes to read one of `parts` equal parts of a prompt. The pairs of a
/// token and those before it are shared evenly too.
double prefillMs(const EngineParameters &engine, std::int64_t promptTokens, int parts);

/// Milliseconds of a pass that writes for `writers` requests and reads nothing.
double decodePassMs(const EngineParameters &engine, int decodingRequests,
                    std::int64_t contextTokens);

/// Relative worth of a generation for weighing one against another: a token that is written costs
/// about as much as ten that are read.
double generationWeight(const GenerationSize &size);

} // namespace Lavenderpick
