#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Random.h"

#include <optional>

namespace Lavenderpick {

/// Why a gateway has no configuration yet.
enum class MissingConfiguration {
    Loading,     ///< It has just started, or a peer that has one is ready.
    Unreachable, ///< Neither the store nor a peer has answered.
};

/// Chooses when a caller returns that is refused because its gateway has no configuration.
///
/// Load: all gateways are killed while the store is away, so that none has a configuration until
/// the store returns, seconds later. Callers return once or a few times only, so a caller that is
/// told to return at once is refused again and lost. It is told to return as late as it accepts, a
/// third of its remaining time.
Duration returnTime(MissingConfiguration cause, std::optional<Duration> timeLeft, Random &random);

} // namespace Lavenderpick
