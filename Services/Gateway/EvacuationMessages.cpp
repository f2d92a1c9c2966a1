#include "Services/Gateway/EvacuationMessages.h"

#include "lavenderpick/Base/Error.h"

#include <nlohmann/json.hpp>

namespace Lavenderpick {

nlohmann::json encodeEvacuations(const std::vector<ZoneEvacuation> &entries)
{
    nlohmann::json json = nlohmann::json::array();
    for (const ZoneEvacuation &entry : entries)
        json.push_back({ entry.zone, entry.revision, entry.evacuated });
    return json;
}

EvacuationUpdate decodeEvacuations(const nlohmann::json &message)
{
    EvacuationUpdate update;
    try {
        if (message.contains("evacuations")) {
            for (const nlohmann::json &entry : message.at("evacuations"))
                update.zones.push_back({ .zone = entry.at(0).get<std::string>(),
                                         .revision = entry.at(1).get<std::int64_t>(),
                                         .evacuated = entry.at(2).get<bool>() });
        }
    } catch (const nlohmann::json::exception &error) {
        throw Error(ErrorKind::InvalidMessage,
                    std::string("malformed evacuations: ") + error.what(),
                    "Run the same version on all gateways.");
    }
    return update;
}

} // namespace Lavenderpick
