#include "lavenderpick/Forward/ZoneLocality.h"

#include "lavenderpick/Forward/UpstreamSubset.h"

#include <algorithm>
#include <map>

namespace Lavenderpick {

void ZoneLocality::update(const std::vector<const UpstreamRecord *> &engines)
{
    std::map<std::string, std::size_t> enginesByZone;
    for (const UpstreamRecord *engine : engines)
        ++enginesByZone[engine->availabilityZone];
    const std::size_t minimum = m_isLocal ? minimumEnginesToStay : minimumEngines;
    m_isLocal = engines.size() > UpstreamSubset::maximumSize && enginesByZone.contains(m_ownZone)
            && std::all_of(enginesByZone.begin(), enginesByZone.end(),
                           [minimum](const auto &entry) { return entry.second >= minimum; });
}

} // namespace Lavenderpick
