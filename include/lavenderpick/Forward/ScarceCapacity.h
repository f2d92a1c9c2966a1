#pragma once

#include "lavenderpick/Forward/FairOrder.h"
#include "lavenderpick/Forward/ReturnSchedule.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A request of a service of engines that can't be placed now.
struct UnplacedRequest
{
    std::string service;
    RoomDemand demand {};
    std::optional<Duration> callerTimeLeft {}; ///< Empty if the caller does not say it.
    double engineShare { 1 }; ///< Share of the service's engines that this gateway uses.
};

/// What one gateway decides while callers compete for its engines: the order of waiting requests
/// and when rejected callers return.
///
/// Load: bursts above the capacity of the engines. A forecast serves all refusals of 50 ms, since
/// making one costs about as much as a placement. Not safe for concurrent use.
class ScarceCapacity
{
public:
    static constexpr Duration forecastLifetime { Milliseconds(50) };

    explicit ScarceCapacity(Random &random)
        : m_random(random)
    { }

    /// The number of known gateways, silent ones and this one included.
    void setGatewayCount(std::size_t count) { m_gatewayCount = count; }

    FairOrder &order() { return m_order; }

    /// Records a new request.
    void recordArrival(const std::string &service, const std::string &customer,
                       const RoomDemand &demand, const EngineParameters &engine, TimePoint now);

    ScheduledReturn scheduleReturn(const UnplacedRequest &request, const EngineParameters &engine,
                                   const std::vector<const UpstreamRecord *> &upstreams,
                                   const LoadLedger &ledger, TimePoint now);

private:
    struct Service
    {
        RoomForecast forecast {};
        ReturnSchedule schedule;
    };

    Service &service(const std::string &name);

    Random &m_random;
    std::size_t m_gatewayCount { 1 };
    FairOrder m_order;
    std::map<std::string, Service> m_services;
};

} // namespace Lavenderpick
