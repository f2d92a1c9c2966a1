#include "lavenderpick/Forward/StorePosition.h"

#include <algorithm>

namespace Lavenderpick {

std::int64_t StorePosition::toNumber() const
{
    const std::int64_t boundedEra = std::clamp<std::int64_t>(era, 0, highestEra);
    const std::int64_t boundedRevision = std::clamp<std::int64_t>(revision, 0, highestRevision);
    return (boundedEra << revisionBits) | boundedRevision;
}

StorePosition StorePosition::fromNumber(std::int64_t number)
{
    const std::int64_t bounded = std::max<std::int64_t>(0, number);
    return { .era = bounded >> revisionBits, .revision = bounded & highestRevision };
}

} // namespace Lavenderpick
