#pragma once

#include "lavenderpick/Forward/PromptQuarantine.h"

#include <nlohmann/json_fwd.hpp>

namespace Lavenderpick {

nlohmann::json encodeQuarantineNews(const QuarantineNews &news);

/// Throws `nlohmann::json::exception` if a field is missing or has another type.
QuarantineNews decodeQuarantineNews(const nlohmann::json &json);

} // namespace Lavenderpick
