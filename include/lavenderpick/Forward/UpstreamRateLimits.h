#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Forward/ColdPeriod.h"
#include "lavenderpick/Forward/GatewayShare.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavenderpick {

/// The newest limit that a gateway heard from an upstream, as reported to peers.
struct RateLimitReport
{
    std::string upstream;
    std::optional<double> limit {}; ///< Requests a second; empty if the upstream names none.
    Duration age {};                ///< Since the response that named it.

    bool operator==(const RateLimitReport &) const = default;
};

/// Keeps the requests to each upstream within the limit that it names in its responses, which is in
/// requests a second from all gateways together. Not safe for concurrent use.
///
/// Load: several gateways send to an upstream in need, and each hears of its limit at another time.
/// Gateways report limits to each other, and each counts the requests of the whole group
/// (`recordSent`). A request that a peer sends is known here only when its datagram has arrived, so
/// that gateways with waiting requests would all take the place that becomes free. Each therefore
/// waits for a random time, in proportion to the number of gateways, before it takes one. What is
/// sent beyond the limit all the same delays the next request.
///
/// Cold upstreams have a second limit, which must hold in every second although gateways may not
/// hear each other. Each gateway therefore uses only its own turns of it (`GatewayShare`), without
/// a burst, whether it hears the others or not. The lower one of the two limits holds.
class UpstreamRateLimits
{
public:
    /// A limit that no response has confirmed for this long is dropped.
    static constexpr Duration confirmationTimeout { Seconds(30) };
    /// A limit that is still named is reported this often by all gateways of the group together.
    static constexpr Duration reportInterval { Seconds(1) };

    explicit UpstreamRateLimits(Random &random, std::string ownName = {})
        : m_random(random)
        , m_share(std::move(ownName))
    { }

    /// Sets the number of gateways that send to the same upstreams, and the share of them that this
    /// gateway hears from; without the others' reports it may use only its share of a limit.
    void setGateways(std::size_t count, double reachableShare);

    /// Sets what is known of the number of all gateways, for the limits of cold upstreams.
    void setCensus(const GatewayCensus &census, TimePoint now);
    const GatewayCensus &census() const { return m_share.census(); }

    /// The upstream is cold, or still cold with another period.
    void setCold(const std::string &upstream, const ColdPeriod &period, TimePoint now);
    void setWarm(const std::string &upstream) { m_cold.erase(upstream); }

    /// Records the limit that a response names, or that it names none. Returns whether that is a
    /// change.
    bool recordNamed(const std::string &upstream, std::optional<double> limit, TimePoint now);

    /// Applies what a peer heard, if it is newer than what is known here.
    void applyReport(const RateLimitReport &report, TimePoint now);

    /// Records a request that any gateway of the group sends.
    void recordSent(const std::string &upstream, TimePoint now);

    /// Records a request that this gateway sends, in addition to `recordSent`.
    void recordOwnSent(const std::string &upstream, TimePoint now);

    /// Empty if the upstream names none.
    std::optional<double> limit(const std::string &upstream) const;

    /// Whether the upstream names a limit or is cold.
    bool isLimited(const std::string &upstream) const
    {
        return !isEmpty() && (limit(upstream).has_value() || m_cold.contains(upstream));
    }

    bool isEmpty() const { return m_entries.empty() && m_cold.empty(); }

    /// Time until this gateway may send a request to the upstream; zero if it may send one now.
    Duration timeUntilAllowed(const std::string &upstream, TimePoint now) const;

    /// Limits to report to the group.
    std::vector<RateLimitReport> takeReports(TimePoint now);

    void expire(TimePoint now);

    /// Drops what is known of an upstream that is gone or has restarted.
    void forget(const std::string &upstream)
    {
        m_entries.erase(upstream);
        m_cold.erase(upstream);
    }

private:
    struct Entry
    {
        std::optional<double> limit {};
        TimePoint namedAt {};
        TimePoint nextFree {}; ///< When the requests sent so far are used up at the limit's rate.
        Duration ownDelay {};  ///< This gateway's random wait after `nextFree`.
        TimePoint reportedAt {};
        bool reportDue { false };
    };

    struct ColdEntry
    {
        ColdPeriod period {};
        bool hasTurns { false };
        TimePoint nextTurn {};
    };

    Duration interval(const Entry &entry) const;
    Duration timeUntilNextTurn(const std::string &upstream, TimePoint now) const;
    void setTurns(const std::string &upstream, ColdEntry &entry, TimePoint now) const;

    Random &m_random;
    std::size_t m_gatewayCount { 1 };
    double m_reachableShare { 1 };
    std::map<std::string, Entry> m_entries;
    GatewayShare m_share;
    std::unordered_map<std::string, ColdEntry> m_cold;
};

} // namespace Lavenderpick
