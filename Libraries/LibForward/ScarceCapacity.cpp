#include "lavenderpick/Forward/ScarceCapacity.h"

namespace Lavenderpick {

ScheduledReturn ScarceCapacity::scheduleReturn(const UnplacedRequest &request,
                                               const EngineParameters &engine,
                                               const std::vector<const UpstreamRecord *> &upstreams,
                                               const LoadLedger &ledger, TimePoint now)
{
    Service &service = this->service(request.service);
    // Gateways that use parts of the engines share each engine with few others.
    service.schedule.setSharingGateways(static_cast<double>(m_gatewayCount) * request.engineShare);
    if (service.forecast.engineCount() == 0 || now - service.forecast.madeAt() >= forecastLifetime)
        service.forecast = RoomForecast(engine, upstreams, ledger, now);
    return service.schedule.schedule(service.forecast, request.demand, request.callerTimeLeft, now);
}

void ScarceCapacity::recordArrival(const std::string &name, const std::string &customer,
                                   const RoomDemand &demand, const EngineParameters &engine,
                                   TimePoint now)
{
    m_order.recordRequest(name, customer, now);
    service(name).schedule.recordArrival(demand, prefillMs(engine, demand.size.promptTokens, 1),
                                         now);
}

ScarceCapacity::Service &ScarceCapacity::service(const std::string &name)
{
    const auto found = m_services.find(name);
    if (found != m_services.end())
        return found->second;
    return m_services.try_emplace(name, Service { .schedule = ReturnSchedule(m_random) })
            .first->second;
}

} // namespace Lavenderpick
