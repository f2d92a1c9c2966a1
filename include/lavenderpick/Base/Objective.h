#pragma once

#include <string_view>

namespace Lavenderpick {

/// What the section `priorities` of the document asks routing to minimise.
enum class Objective {
    ShortSlowdown,      ///< The slowdown of short requests while long ones run.
    FirstTokenByLength, ///< Time to first token by prompt length.
};

std::string_view toString(Objective objective);

/// Throws `Error` of kind InvalidDocument for another name than short_slowdown or
/// first_token_by_length.
Objective parseObjective(std::string_view name);

} // namespace Lavenderpick
