#pragma once

#include "lavenderpick/Forward/ZoneEvacuations.h"

#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace Lavenderpick {

/// A list of `[zone, revision, evacuated]`.
nlohmann::json encodeEvacuations(const std::vector<ZoneEvacuation> &entries);

/// The field `evacuations` of a peer's message. Empty if the message lacks it, as those of earlier
/// versions do. Throws `Error` of kind InvalidMessage.
EvacuationUpdate decodeEvacuations(const nlohmann::json &message);

} // namespace Lavenderpick
