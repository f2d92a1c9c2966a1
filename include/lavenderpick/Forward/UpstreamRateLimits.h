#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Random.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
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
class UpstreamRateLimits
{
public:
    /// A limit that no response has confirmed for this long is dropped.
    static constexpr Duration confirmationTimeout { Seconds(30) };
    /// A limit that is still named is reported this often by all gateways of the group together.
    static constexpr Duration reportInterval { Seconds(1) };

    explicit UpstreamRateLimits(Random &random)
        : m_random(random)
    { }

    /// Sets the number of gateways that send to the same upstreams, and the share of them that this
    /// gateway hears from; without the others' reports it may use only its share of a limit.
    void setGateways(std::size_t count, double reachableShare);

    /// Records the limit that a response names, or that it names none. Returns whether that is a
    /// change.
    bool recordNamed(const std::string &upstream, std::optional<double> limit, TimePoint now);

    /// Applies what a peer heard, if it is newer than what is known here.
    void applyReport(const RateLimitReport &report, TimePoint now);

    /// Records a request that any gateway of the group sends.
    void recordSent(const std::string &upstream, TimePoint now);

    /// Empty if the upstream names none.
    std::optional<double> limit(const std::string &upstream) const;

    bool isEmpty() const { return m_entries.empty(); }

    /// Time until this gateway may send a request to the upstream; zero if it may send one now.
    Duration timeUntilAllowed(const std::string &upstream, TimePoint now) const;

    /// Limits to report to the group.
    std::vector<RateLimitReport> takeReports(TimePoint now);

    void expire(TimePoint now);

    /// Drops what is known of an upstream that is gone or has restarted.
    void forget(const std::string &upstream) { m_entries.erase(upstream); }

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

    Duration interval(const Entry &entry) const;

    Random &m_random;
    std::size_t m_gatewayCount { 1 };
    double m_reachableShare { 1 };
    std::map<std::string, Entry> m_entries;
};

} // namespace Lavenderpick
