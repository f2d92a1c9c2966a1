#include "lavenderpick/Forward/UpstreamRateLimits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };
constexpr Duration step { Milliseconds(10) };
constexpr Duration propagationTime { Seconds(3) };
constexpr Duration reportInterval { Milliseconds(50) };
constexpr Duration window { Seconds(4) };

struct LoadOptions
{
    std::size_t gateways { 3 };
    double limit { 2 };
    double requestsPerSecond { 20 }; ///< Of all gateways together.
    bool requestsWait { false };     ///< Each gateway always has a request that waits for its turn.
    double lostDatagrams { 0.05 };
    Duration longestDelay { Milliseconds(40) }; ///< Of a datagram.
    bool gatewaysRestart { false };             ///< One of them every two seconds.
    std::uint64_t seed { 1 };
};

/// Gateways in front of one upstream that names a limit in each of its responses.
class LimitedUpstream
{
public:
    explicit LimitedUpstream(const LoadOptions &options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (std::size_t index = 0; index < options.gateways; ++index)
            m_gateways.push_back(makeGateway());
    }

    void run(Duration duration)
    {
        for (m_now = start; m_now < start + duration; m_now += step) {
            deliver();
            send();
            if ((m_now - start) % reportInterval == Duration {})
                report();
            if (m_options.gatewaysRestart && (m_now - start) % Seconds(2) == Duration {})
                m_gateways[pick()] = makeGateway();
        }
    }

    /// The most requests that the upstream got in any window, later than the propagation time.
    std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        for (auto first = m_sent.begin(); first != m_sent.end(); ++first) {
            const auto end = std::lower_bound(first, m_sent.end(), *first + window);
            if (*first >= start + propagationTime)
                most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    double servedPerSecond(Duration duration) const
    {
        return static_cast<double>(m_sent.size()) / std::chrono::duration<double>(duration).count();
    }

private:
    struct Datagram
    {
        TimePoint arrivesAt;
        std::size_t receiver;
        std::optional<RateLimitReport> report; ///< Else that a request was sent.
    };

    std::unique_ptr<UpstreamRateLimits> makeGateway()
    {
        auto gateway = std::make_unique<UpstreamRateLimits>(m_random);
        gateway->setGateways(m_options.gateways, 1);
        return gateway;
    }

    std::size_t pick() { return static_cast<std::size_t>(m_random.below(m_gateways.size())); }

    void send()
    {
        if (m_options.requestsWait) {
            for (std::size_t gateway = 0; gateway < m_gateways.size(); ++gateway)
                sendFrom(gateway);
            return;
        }
        const double expected =
                m_options.requestsPerSecond * std::chrono::duration<double>(step).count();
        if (m_random.unit() < expected)
            sendFrom(pick());
    }

    void sendFrom(std::size_t gateway)
    {
        if (m_gateways[gateway]->timeUntilAllowed("u", m_now) > Duration {})
            return;
        m_sent.push_back(m_now);
        m_gateways[gateway]->recordSent("u", m_now);
        broadcast(gateway, std::nullopt);
        m_gateways[gateway]->recordNamed("u", m_options.limit, m_now);
    }

    void report()
    {
        for (std::size_t gateway = 0; gateway < m_gateways.size(); ++gateway) {
            for (const RateLimitReport &report : m_gateways[gateway]->takeReports(m_now))
                broadcast(gateway, report);
        }
    }

    void broadcast(std::size_t sender, const std::optional<RateLimitReport> &report)
    {
        for (std::size_t receiver = 0; receiver < m_gateways.size(); ++receiver) {
            if (receiver == sender || m_random.unit() < m_options.lostDatagrams)
                continue;
            const Duration delay = step
                    + std::chrono::duration_cast<Duration>(m_options.longestDelay
                                                           * m_random.unit());
            m_datagrams.push_back(
                    { .arrivesAt = m_now + delay, .receiver = receiver, .report = report });
        }
    }

    void deliver()
    {
        for (const Datagram &datagram : m_datagrams) {
            if (datagram.arrivesAt > m_now)
                continue;
            if (datagram.report)
                m_gateways[datagram.receiver]->applyReport(*datagram.report, m_now);
            else
                m_gateways[datagram.receiver]->recordSent("u", m_now);
        }
        std::erase_if(m_datagrams,
                      [this](const Datagram &datagram) { return datagram.arrivesAt <= m_now; });
    }

    LoadOptions m_options;
    SeededRandom m_random;
    TimePoint m_now { start };
    std::vector<std::unique_ptr<UpstreamRateLimits>> m_gateways;
    std::vector<Datagram> m_datagrams;
    std::vector<TimePoint> m_sent;
};

// The users' rule: in any four seconds at most one and a half times what the limit allows, and five
// more. Callers get most of what the upstream offers.
void checkLoad(const LoadOptions &options, double servedShare = 0.7)
{
    constexpr Duration duration { Seconds(30) };
    const double allowed = 1.5 * options.limit * std::chrono::duration<double>(window).count() + 5;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        LoadOptions seeded = options;
        seeded.seed = seed;
        LimitedUpstream upstream(seeded);
        upstream.run(duration);
        const std::string context = std::to_string(options.gateways) + " gateways, limit "
                + std::to_string(options.limit) + ", seed " + std::to_string(seed);
        BOOST_CHECK_MESSAGE(static_cast<double>(upstream.mostInWindow()) <= allowed,
                            context + ": got " + std::to_string(upstream.mostInWindow()));
        BOOST_CHECK_MESSAGE(upstream.servedPerSecond(duration) >= servedShare * options.limit,
                            context + ": served "
                                    + std::to_string(upstream.servedPerSecond(duration)));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamRateLimitsTests)

BOOST_AUTO_TEST_CASE(oneGatewayKeepsTheLimit)
{
    for (const double limit : { 1.0, 4.2, 30.0 })
        checkLoad({ .gateways = 1, .limit = limit, .requestsPerSecond = 80 });
}

BOOST_AUTO_TEST_CASE(gatewaysKeepTheLimitTogether)
{
    for (const std::size_t gateways : { 3, 30, 64 }) {
        checkLoad({ .gateways = gateways, .limit = 1 });
        checkLoad({ .gateways = gateways, .limit = 4.2 });
        checkLoad({ .gateways = gateways, .limit = 4.2, .lostDatagrams = 0.3 });
    }
}

BOOST_AUTO_TEST_CASE(waitingRequestsOfAllGatewaysDoNotTakeTheSamePlace)
{
    for (const std::size_t gateways : { 3, 20, 30 }) {
        checkLoad({ .gateways = gateways, .limit = 1, .requestsWait = true });
        checkLoad({ .gateways = gateways, .limit = 4.2, .requestsWait = true });
    }
}

BOOST_AUTO_TEST_CASE(restartedGatewaysKeepTheLimit)
{
    for (const std::size_t gateways : { 3, 30 })
        checkLoad({ .gateways = gateways, .limit = 2, .gatewaysRestart = true });
}

BOOST_AUTO_TEST_CASE(gatewayThatHearsNoPeersUsesItsShareOnly)
{
    SeededRandom random(1);
    UpstreamRateLimits limits(random);
    limits.setGateways(4, 0.25);
    limits.recordNamed("u", 4, start);
    int sent = 0;
    for (int index = 0; index < 100; ++index) {
        const TimePoint now = start + index * Milliseconds(100);
        if (limits.timeUntilAllowed("u", now) > Duration {})
            continue;
        limits.recordSent("u", now);
        ++sent;
    }
    BOOST_CHECK_GE(sent, 7);
    BOOST_CHECK_LE(sent, 12);
}

BOOST_AUTO_TEST_CASE(newestNewsOfALimitWins)
{
    SeededRandom random(1);
    UpstreamRateLimits limits(random);
    BOOST_CHECK(!limits.recordNamed("u", std::nullopt, start));
    BOOST_CHECK(limits.recordNamed("u", 2, start));
    BOOST_CHECK(!limits.recordNamed("u", 2, start));
    const RateLimitReport lifted { .upstream = "u", .age = Seconds(1) };
    limits.applyReport(lifted, start);
    BOOST_CHECK(limits.limit("u") == 2.0);
    limits.applyReport(lifted, start + Seconds(2));
    BOOST_CHECK(!limits.limit("u"));
    limits.applyReport({ .upstream = "u", .limit = 2, .age = Seconds(2) }, start + Seconds(2));
    BOOST_CHECK(!limits.limit("u"));
}

BOOST_AUTO_TEST_CASE(limitThatIsNotConfirmedIsDropped)
{
    SeededRandom random(1);
    UpstreamRateLimits limits(random);
    limits.recordNamed("u", 2, start);
    limits.expire(start + UpstreamRateLimits::confirmationTimeout - Milliseconds(1));
    BOOST_CHECK(limits.limit("u"));
    limits.expire(start + UpstreamRateLimits::confirmationTimeout);
    BOOST_CHECK(!limits.limit("u"));
}

BOOST_AUTO_TEST_SUITE_END()
