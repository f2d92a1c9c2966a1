#include "lavenderpick/Forward/ControlPlaneSource.h"

#include <algorithm>

namespace Lavenderpick {

std::size_t UpstreamChangeSet::endOfTransaction(std::size_t index) const
{
    std::size_t end = std::min(index, entries.size());
    while (end > 0 && end < entries.size() && entries[end].revision == entries[end - 1].revision)
        ++end;
    return end;
}

} // namespace Lavenderpick
