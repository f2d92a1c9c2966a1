#include "lavenderpick/Forward/SpareEngines.h"

#include <algorithm>
#include <utility>

namespace Lavenderpick {

std::vector<std::string> SpareEngines::choose(const std::vector<const UpstreamRecord *> &ownEngines,
                                              const LoadLedger &ledger, TimePoint now)
{
    std::vector<std::pair<std::size_t, std::string>> spare; // Open requests and id.
    for (const UpstreamRecord *engine : ownEngines) {
        const UpstreamLoad &load = ledger.load(engine->id);
        const std::size_t open = load.open().size();
        if (2 * open <= static_cast<std::size_t>(std::max(1, engine->capacity))
            && load.prefillWaitMs(now) <= 0)
            spare.emplace_back(open, engine->id);
    }
    std::sort(spare.begin(), spare.end());
    spare.resize(std::min((spare.size() + 1) / 2, maximumReported));
    std::vector<std::string> ids;
    ids.reserve(spare.size());
    for (auto &[open, id] : spare)
        ids.push_back(std::move(id));
    return ids;
}

void SpareEngines::record(const std::string &zone, std::vector<std::string> engines, TimePoint now)
{
    m_reports[zone] = { .engines = std::move(engines), .receivedAt = now };
}

std::vector<const UpstreamRecord *> SpareEngines::usable(const UpstreamDirectory &directory,
                                                         const std::string &service,
                                                         TimePoint now) const
{
    std::vector<const UpstreamRecord *> engines;
    for (const auto &[zone, report] : m_reports) {
        if (now - report.receivedAt > maximumAge)
            continue;
        for (const std::string &id : report.engines) {
            const UpstreamRecord *record = directory.find(id);
            if (record != nullptr && record->service == service && directory.isReady(id))
                engines.push_back(record);
        }
    }
    return engines;
}

} // namespace Lavenderpick
