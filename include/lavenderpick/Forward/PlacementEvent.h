#pragma once

#include "lavenderpick/Forward/LoadLedger.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace Lavenderpick {

/// What a gateway tells its peers about one of its placements.
struct PlacementEvent
{
    /// The values are sent to peers.
    enum class Type : std::uint8_t {
        Placed = 1,
        PromptPrefilled = 2,
        Ended = 3,
    };

    Type type { Type::Ended };
    std::uint64_t number { 0 }; ///< `PlacementKey::number` at the sender.
    Placement placement {};     ///< Of a placed event.

    bool operator==(const PlacementEvent &) const = default;

    /// Times are encoded relative to `now`, since clocks of gateways differ.
    nlohmann::json toJson(TimePoint now) const;

    /// Empty for a type that only newer versions know. Throws `Error` of kind InvalidMessage.
    static std::optional<PlacementEvent> parse(const nlohmann::json &json, TimePoint now);
};

} // namespace Lavenderpick
