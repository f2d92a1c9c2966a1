#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Forward/ZoneEvacuations.h"

namespace Lavenderpick {

struct GatewayState;

/// Applies evacuations from the store and from peers to the upstream directory, logs each change
/// and keeps the metric.
class EvacuationUpdates
{
public:
    enum class Source { Store, Peer };

    /// Each repeated report of zones beyond the limits would write a line.
    static constexpr Duration ignoredLogInterval { Seconds(30) };

    explicit EvacuationUpdates(GatewayState &state);

    /// Returns whether the update has anything that this gateway did not know.
    bool apply(const EvacuationUpdate &update, Source source);

private:
    void logIgnored(const std::vector<std::string> &zones, Source source);

    GatewayState &m_state;
    TimePoint m_nextIgnoredLogAt {};
};

} // namespace Lavenderpick
