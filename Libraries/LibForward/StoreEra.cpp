#include "lavenderpick/Forward/StoreEra.h"

#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Base/Units.h"
#include "lavenderpick/Forward/StorePosition.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Lavenderpick {

std::optional<std::int64_t> StoreEra::recordResponse(const std::string *era)
{
    if (era == nullptr)
        return current();
    const std::optional<std::int64_t> number = parseInteger(*era);
    if (!number || *number < 0 || *number > StorePosition::highestEra) {
        log(LogLevel::Warning, "store", "the store named an era that is none",
            { { "era", *era }, { "current", current() } });
        return current();
    }
    if (*number < current()) {
        log(LogLevel::Info, "store", "a response of an earlier era of the store is ignored",
            { { "era", *number }, { "current", current() } });
        return std::nullopt;
    }
    advance(*number);
    return number;
}

void StoreEra::recordPeer(std::int64_t era)
{
    if (era > current())
        advance(era);
}

void StoreEra::advance(std::int64_t era)
{
    const std::optional<std::int64_t> before = std::exchange(m_current, era);
    if (before && *before != era && m_changeHandler)
        m_changeHandler(*before, era);
}

} // namespace Lavenderpick
