#include "Services/Gateway/GatewayState.h"

#include "lavenderpick/Base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

// Three consecutive failures eject an upstream. The base ejection is short, so that an upstream
// that lost only a few connections returns before its capacity is missed.
OutlierSettings outlierSettings()
{
    return { .failureThreshold = 3,
             .baseEjectionDuration = Milliseconds(1'500),
             .maximumEjectionDuration = Seconds(6),
             .slowStartDuration = Seconds(2),
             .initialTrafficShare = 0.1,
             .failureHistoryRetention = Seconds(20) };
}

} // namespace

GatewayState::GatewayState(asio::io_context &contextToUse, const Clock &clockToRead,
                           Random &randomToUse, const RequestDialect &dialectToUse,
                           GatewaySettings settingsToUse)
    : context(contextToUse)
    , clock(clockToRead)
    , random(randomToUse)
    , dialect(dialectToUse)
    , settings(std::move(settingsToUse))
    , subset(settings.name, settings.availabilityZone)
    , placer(PlacerSettings {}, randomToUse)
    , retryBudget(settings.retryBudget)
    , outliers(outlierSettings())
    , rateLimits(randomToUse, settings.name)
    , retainedPrompts(settings.promptRetention)
    , stop(settings.stopGrace)
    , pool(contextToUse, clockToRead, ledger)
    , scarceCapacity(randomToUse)
    , waiting(contextToUse, clockToRead, isFair() ? &scarceCapacity.order() : nullptr)
    , engineCalls(*this)
    , evacuations(*this)
    , startedAt(clockToRead.now())
{ }

MissingConfiguration GatewayState::missingConfiguration() const
{
    // A reachable store answers within this time.
    constexpr Duration loadingLimit { Milliseconds(150) };
    return peerIsReady || clock.now() - startedAt < loadingLimit
            ? MissingConfiguration::Loading
            : MissingConfiguration::Unreachable;
}

std::size_t GatewayState::maximumBufferedBytes() const
{
    constexpr std::int64_t bodyMemoryDivisor = 3; // Buffers may temporarily double in size.
    return static_cast<std::size_t>(settings.memoryBytes / bodyMemoryDivisor);
}

std::size_t GatewayState::maximumPendingResponse() const
{
    constexpr std::size_t smallest = 16'384;
    constexpr std::size_t largest = 262'144;
    constexpr std::int64_t outputMemoryDivisor = 4;
    const auto memory = static_cast<std::size_t>(settings.memoryBytes / outputMemoryDivisor);
    return std::clamp(memory / std::max<std::size_t>(1, openRequests), smallest, largest);
}

int GatewayState::maximumConnections(const std::string &service) const
{
    const ServiceProfile *profile = configuration ? configuration->findService(service) : nullptr;
    return profile == nullptr ? 0 : profile->maximumConnections;
}

std::set<std::string> GatewayState::upstreamsAtLimit(const std::string &service) const
{
    std::set<std::string> atLimit;
    if (rateLimits.isEmpty())
        return atLimit;
    for (const UpstreamRecord *record : upstreams.ready(service)) {
        if (!mayUse(*record))
            atLimit.insert(record->id);
    }
    return atLimit;
}

bool GatewayState::mayUse(const UpstreamRecord &record) const
{
    if (!rateLimits.isLimited(record.id))
        return true;
    // This gateway does not know what those of another zone send there. The turns at a cold
    // upstream are divided among the gateways of all zones.
    if (rateLimits.limit(record.id) && subset.isOwnZoneOnly()
        && record.availabilityZone != settings.availabilityZone
        && isServedInOwnZone(record.service))
        return false;
    return rateLimits.timeUntilAllowed(record.id, clock.now()) == Duration {};
}

void GatewayState::applyColdChanges()
{
    const TimePoint now = clock.now();
    for (const ColdChange &change : coldUpstreams.takeChanges(now)) {
        if (change.period)
            rateLimits.setCold(change.upstream, *change.period, now);
        else
            rateLimits.setWarm(change.upstream);
        if (change.period && change.wasCold)
            continue;
        metrics.setGauge("lavenderpick_cold_upstreams", "",
                         static_cast<double>(coldUpstreams.size()));
        if (!change.period) {
            log(LogLevel::Info, "gateway", "upstream is warm", { { "upstream", change.upstream } });
            continue;
        }
        const std::string reason(toString(change.reason));
        metrics.increment("lavenderpick_cold_periods_total", "reason=\"" + reason + "\"");
        log(LogLevel::Info, "gateway", "upstream is cold",
            { { "upstream", change.upstream },
              { "reason", reason },
              { "left_ms", toMilliseconds(change.period->until - now) },
              { "requests_per_second", change.period->requestsPerSecond },
              { "gateways", rateLimits.census().count } });
    }
}

void GatewayState::recordEngineEvents(const UpstreamRecord &upstream,
                                      const EngineParameters &engine, EngineSpeeds::Stream &stream,
                                      std::size_t events)
{
    const UpstreamLoad &load = ledger.load(upstream.id);
    engineSpeeds.recordEvents(upstream, stream, events,
                              decodePassMs(engine, load.decodingRequests(), load.contextTokens()),
                              clock.now());
}

void GatewayState::updateEngineSpeeds()
{
    for (const EngineSpeedChange &change : engineSpeeds.update(clock.now())) {
        const bool isSlow = change.factor > 1;
        log(LogLevel::Info, "gateway", isSlow ? "engine is slow" : "engine is no longer slow",
            { { "upstream", change.upstream }, { "factor", change.factor } });
    }
    metrics.setGauge("lavenderpick_slow_engines", "",
                     static_cast<double>(engineSpeeds.slowCount()));
}

void GatewayState::recordZoneReturned(const std::string &zone)
{
    coldUpstreams.recordZoneReturned(zone, clock.now());
    applyColdChanges();
}

void GatewayState::recordNotices(const UpstreamRecord &upstream, const ResponseHead &response)
{
    UpstreamRecord sender = upstream;
    if (dialect.isMisdirected(response)) {
        // Another process responded: the one that is listed at the same address, if it is known.
        const auto other = upstreams.otherAtAddress(upstream.address, upstream.id);
        if (!other)
            return;
        sender = *other;
    }
    const TimePoint now = clock.now();
    if (dialect.isLeaving(response) && upstreams.recordLeaving(sender.id, sender.startedMs, now)) {
        metrics.increment("lavenderpick_upstream_notices_total", "notice=\"leaving\"");
        log(LogLevel::Info, "gateway", "upstream left out",
            { { "upstream", sender.id },
              { "reason", "leaving" },
              { "until", "its process ends" },
              { "status", response.status } });
    }
    const std::optional<Duration> pause = dialect.pause(response);
    if (pause && upstreams.recordPause(sender.id, sender.startedMs, *pause, now)) {
        metrics.increment("lavenderpick_upstream_notices_total", "notice=\"pause\"");
        log(LogLevel::Info, "gateway", "upstream left out",
            { { "upstream", sender.id },
              { "reason", "pause" },
              { "pause_ms",
                toMilliseconds(std::min<Duration>(*pause, UpstreamNotices::longestPause)) },
              { "status", response.status } });
    }
}

bool GatewayState::isServedInOwnZone(const std::string &service) const
{
    const auto &ready = upstreams.ready(service);
    return std::any_of(ready.begin(), ready.end(), [this](const UpstreamRecord *record) {
        return record->availabilityZone == settings.availabilityZone;
    });
}

void GatewayState::keepConnection(const std::string &upstream,
                                  std::shared_ptr<HttpConnection> connection)
{
    const UpstreamRecord *record = upstreams.find(upstream);
    if (record == nullptr)
        connection->abandon();
    else
        pool.release(upstream, std::move(connection), maximumConnections(record->service));
}

PlacementKey GatewayState::beginPlacement(const Placement &placement)
{
    PlacementKey key { .gateway = settings.name, .number = ++lastPlacementNumber };
    recordPlacement(key, placement);
    if (!placement.parts.empty())
        rateLimits.recordOwnSent(placement.parts.front().upstream, clock.now());
    if (placementObserver != nullptr)
        placementObserver->placed(key, placement);
    return key;
}

void GatewayState::recordPlacement(const PlacementKey &key, Placement placement)
{
    const TimePoint now = clock.now();
    if (!placement.parts.empty())
        rateLimits.recordSent(placement.parts.front().upstream, now);
    ledger.begin(key, std::move(placement), now);
}

void GatewayState::markPrefilled(const PlacementKey &key)
{
    ledger.markPrefilled(key, clock.now());
    if (placementObserver != nullptr)
        placementObserver->promptPrefilled(key);
}

void GatewayState::endPlacement(const PlacementKey &key)
{
    ledger.end(key, clock.now());
    if (placementObserver != nullptr)
        placementObserver->placementEnded(key);
}

} // namespace Lavenderpick
