#include "lavenderpick/Routing/RoutingPolicy.h"

#include "lavenderpick/Base/Error.h"

namespace Lavenderpick {

std::string_view toString(Objective objective)
{
    return objective == Objective::ShortSlowdown ? "short_slowdown" : "first_token_by_length";
}

Objective parseObjective(std::string_view name)
{
    for (const Objective objective : { Objective::ShortSlowdown, Objective::FirstTokenByLength }) {
        if (toString(objective) == name)
            return objective;
    }
    throw Error(ErrorKind::InvalidDocument, "'" + std::string(name) + "' is not an objective",
                "Use short_slowdown or first_token_by_length.");
}

} // namespace Lavenderpick
