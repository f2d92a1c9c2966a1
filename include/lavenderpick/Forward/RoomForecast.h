#pragma once

#include "lavenderpick/Forward/LoadLedger.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Lavenderpick {

/// What a generation needs of the engines.
struct RoomDemand
{
    GenerationSize size {};
    Duration objective {}; ///< Time from its start to its first event.
    bool maySplit { true };
};

/// Forecasts how many requests of a size the engines of a service can start, up to 10 s ahead.
///
/// Load: bursts of long prompts fill the KV cache, and bursts of short prompts fill the batches, so
/// that callers are rejected and need a time at which their request will be served. The forecast is
/// a snapshot of the open placements of all gateways; it knows no future arrivals.
class RoomForecast
{
public:
    static constexpr Milliseconds horizon { 10'000 };
    static constexpr Milliseconds step { 100 };
    static constexpr std::size_t steps = horizon / step;

    /// The number of requests that each resource allows to start.
    struct Room
    {
        double byMemory { 0 };
        double bySlots { 0 };
        double byPrefill { 0 };

        double count() const { return std::min({ byMemory, bySlots, byPrefill }); }
    };
    /// By step from the time of the forecast.
    using Rooms = std::array<Room, steps>;

    /// A forecast without engines.
    RoomForecast() = default;
    RoomForecast(const EngineParameters &parameters,
                 const std::vector<const UpstreamRecord *> &upstreams, const LoadLedger &ledger,
                 TimePoint now);

    Rooms rooms(const RoomDemand &demand) const;

    /// The expected time from the start of a request to its end.
    Duration duration(const RoomDemand &demand) const;

    /// The time in milliseconds that the prompt takes at one engine.
    double prefillTimeMs(const RoomDemand &demand) const
    {
        return prefillMs(m_parameters, demand.size.promptTokens, 1);
    }

    TimePoint madeAt() const { return m_madeAt; }
    std::size_t engineCount() const { return m_engines.size(); }

private:
    /// Expected end of a part of a request.
    struct Release
    {
        std::size_t step { 0 };
        std::int64_t kvCacheTokens { 0 };
    };
    struct Engine
    {
        double prefillWaitMs { 0 };
        int freeSlots { 0 };
        std::int64_t freeKvCacheTokens { 0 };
        std::vector<Release> releases; ///< In order of time, within the horizon.
    };

    Rooms roomsAtSingleEngines(const RoomDemand &demand) const;
    Rooms roomsOverAllEngines(const RoomDemand &demand) const;

    EngineParameters m_parameters {};
    std::vector<Engine> m_engines;
    TimePoint m_madeAt {};
};

} // namespace Lavenderpick
