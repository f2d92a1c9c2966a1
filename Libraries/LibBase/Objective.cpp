#include "lavenderpick/Base/Objective.h"

#include "lavenderpick/Base/Error.h"

#include <string>

namespace Lavenderpick {

std::string_view toString(Objective objective)
{
    switch (objective) {
    case Objective::ShortSlowdown:
        return "short_slowdown";
    case Objective::FirstTokenByLength:
        return "first_token_by_length";
    }
    return "short_slowdown";
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
