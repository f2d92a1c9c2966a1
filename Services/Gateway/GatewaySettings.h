#pragma once

#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Forward/WindowedRetryBudget.h"
#include "lavenderpick/Settings/SettingsReader.h"

#include <string>
#include <vector>

namespace Lavenderpick {

/// In which order requests wait for capacity.
enum class QueueOrder {
    EarliestStart,
    Fair, ///< See `FairOrder`; callers that are rejected return by a `ReturnSchedule`.
};

/// Where the speed of engines is taken from.
enum class EngineSpeedSource {
    Published, ///< All engines of a service have the speed that its profile states.
    Learned,   ///< See `EngineSpeeds`.
};

/// Settings of a gateway, read from its settings file.
struct GatewaySettings
{
    std::string name;
    std::string availabilityZone;
    std::string callerAddress;    ///< `host:port` for callers.
    std::string readinessAddress; ///< `host:port` for the load balancer's health checks.
    std::string peerAddress;      ///< `host:port` for peers (UDP and TCP) and for metrics.
    std::string metricsAddress;   ///< `host:port` for metrics only; empty for none.
    std::string platformAddress;  ///< `host:port` of the platform's store.
    /// Time within which a change in the store is in force here.
    Duration propagationLimit { Seconds(2) };
    std::vector<std::string> seeds;    ///< `host:port` of initial peers, which may be down.
    Duration stopGrace { Seconds(8) }; ///< Time from SIGTERM to SIGKILL.
    std::int64_t memoryBytes { 256 * 1024 * 1024 };
    WindowedRetryBudgetSettings retryBudget {};
    QueueOrder queueOrder { QueueOrder::EarliestStart };
    EngineSpeedSource engineSpeed { EngineSpeedSource::Published };
    /// Time within which memory that is reserved at an engine must be used or released.
    Duration unusedReservationLimit { Seconds(9) };
    Duration promptRetention {}; ///< How long engines may hold prompts; zero if they don't.
    LogLevel logLevel { LogLevel::Info };

    static GatewaySettings parse(const SettingsMap &root);

    /// Throws `Error` of kind InvalidSettings.
    static GatewaySettings fromFile(const std::string &path);
};

} // namespace Lavenderpick
