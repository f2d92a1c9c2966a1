#include "lavenderpick/Forward/PlacementEvent.h"

#include "lavenderpick/Base/Error.h"

#include <nlohmann/json.hpp>

namespace Lavenderpick {

nlohmann::json PlacementEvent::toJson(TimePoint now) const
{
    const int typeNumber = static_cast<int>(type);
    if (type != Type::Placed)
        return { typeNumber, number };
    nlohmann::json parts = nlohmann::json::array();
    for (const PlacedPart &part : placement.parts)
        parts.push_back(
                { part.upstream, static_cast<std::int64_t>(part.prefillMs), part.kvCacheTokens });
    return { typeNumber,
             number,
             placement.size.promptTokens,
             placement.size.maximumOutputTokens,
             toMilliseconds(placement.gapObjective),
             toMilliseconds(placement.firstEventDue - now),
             toMilliseconds(placement.expires - now),
             std::move(parts) };
}

std::optional<PlacementEvent> PlacementEvent::parse(const nlohmann::json &json, TimePoint now)
{
    try {
        const int typeNumber = json.at(0).get<int>();
        if (typeNumber < static_cast<int>(Type::Placed)
            || typeNumber > static_cast<int>(Type::Ended))
            return std::nullopt;
        PlacementEvent event { .type = static_cast<Type>(typeNumber),
                               .number = json.at(1).get<std::uint64_t>() };
        if (event.type != Type::Placed)
            return event;
        event.placement = {
            .size = { .promptTokens = json.at(2).get<std::int64_t>(),
                      .maximumOutputTokens = json.at(3).get<std::int64_t>() },
            .gapObjective = Milliseconds(json.at(4).get<std::int64_t>()),
            .firstEventDue = now + Milliseconds(json.at(5).get<std::int64_t>()),
            .expires = now + Milliseconds(json.at(6).get<std::int64_t>()),
        };
        for (const nlohmann::json &part : json.at(7))
            event.placement.parts.push_back({ .upstream = part.at(0).get<std::string>(),
                                              .prefillMs = part.at(1).get<double>(),
                                              .kvCacheTokens = part.at(2).get<std::int64_t>(),
                                              .decodes = event.placement.parts.empty() });
        return event;
    } catch (const nlohmann::json::exception &error) {
        throw Error(ErrorKind::InvalidMessage, std::string("malformed event: ") + error.what(),
                    "Run the same version on all gateways.");
    }
}

} // namespace Lavenderpick
