#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Forward/PromptQuarantine.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };
constexpr Duration step { Milliseconds(10) };
constexpr Duration newsInterval { Milliseconds(50) };
constexpr Duration reportInterval { Milliseconds(500) };
constexpr Duration answerTime { Milliseconds(1'200) };
constexpr Duration timeToCrash { Milliseconds(150) };
constexpr Duration propagationTime { Seconds(3) };
constexpr Duration restartTime { Seconds(3) };

struct LoadOptions
{
    std::size_t gateways { 3 };
    std::size_t zones { 1 }; ///< Each is a group; groups exchange reports of one gateway each.
    std::size_t upstreams { 23 };
    double requestsPerSecond { 50 };
    double harmfulShare { 0.05 };
    double lostDatagrams { 0.05 };
    bool gatewaysRestart { false }; ///< One of them every two seconds.
    std::uint64_t seed { 1 };
};

/// What callers and upstreams saw.
struct LoadResult
{
    std::size_t crashes { 0 };
    /// Sent later than `propagationTime` after the fifth crash, by gateways that ran so long.
    std::size_t harmfulSentLate { 0 };
    std::size_t harmful { 0 };
    std::size_t sound { 0 };         ///< With the harmful prompts' other part.
    std::size_t soundRejected { 0 }; ///< Of these.
};

/// Gateways in front of upstreams that crash when they decode a prompt with the part "bad". Those
/// prompts share their other part with a sixth of the sound prompts. A broken request is sent once
/// more.
class CrashingFleet
{
public:
    explicit CrashingFleet(const LoadOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_startedAt(options.gateways, start - propagationTime)
        , m_upstreamBack(options.upstreams, start)
    {
        for (std::size_t index = 0; index < options.gateways; ++index)
            m_gateways.push_back(std::make_unique<PromptQuarantine>());
    }

    LoadResult run(Duration duration)
    {
        for (m_now = start; m_now < start + duration; m_now += step) {
            arrive();
            endRequests();
            exchange();
            if (m_options.gatewaysRestart && isDue(Seconds(2)))
                restartGateway();
        }
        return m_result;
    }

private:
    struct Request
    {
        std::size_t gateway;
        std::vector<std::string> parts;
        std::size_t upstream;
        TimePoint sentAt;
        bool retried { false };

        bool isHarmful() const { return parts.size() > 1; }
    };

    bool isDue(Duration interval) const { return (m_now - start) % interval == Duration {}; }
    std::size_t pick(std::size_t count)
    {
        return static_cast<std::size_t>(m_random.unit() * static_cast<double>(count));
    }

    void restartGateway()
    {
        const std::size_t gateway = pick(m_gateways.size());
        m_gateways[gateway] = std::make_unique<PromptQuarantine>();
        m_startedAt[gateway] = m_now;
        m_reportsHeld = true;
    }

    void arrive()
    {
        const double expected =
                m_options.requestsPerSecond * std::chrono::duration<double>(step).count();
        if (m_random.unit() >= expected)
            return;
        const bool harmful = m_now > start + Seconds(4) && m_random.unit() < m_options.harmfulShare;
        Request request { .gateway = pick(m_gateways.size()) };
        request.parts = { "part-" + std::to_string(harmful ? 0 : pick(6)) };
        if (harmful)
            request.parts.push_back("bad");
        const bool rejected =
                m_gateways[request.gateway]->holdTime(request.parts, m_now).has_value();
        m_result.harmful += harmful ? 1 : 0;
        if (!harmful && request.parts.front() == "part-0") {
            ++m_result.sound;
            m_result.soundRejected += rejected ? 1 : 0;
        }
        if (!rejected)
            send(std::move(request));
    }

    void send(Request request)
    {
        request.upstream = pick(m_upstreamBack.size());
        if (m_upstreamBack[request.upstream] > m_now)
            return;
        request.sentAt = m_now;
        const bool isInTouch = m_now - m_startedAt[request.gateway] >= propagationTime;
        if (request.isHarmful() && isInTouch && m_fifthCrash
            && m_now > *m_fifthCrash + propagationTime)
            ++m_result.harmfulSentLate;
        m_open.push_back(std::move(request));
    }

    void endRequests()
    {
        for (std::size_t index = 0; index < m_open.size();) {
            const Request request = m_open[index];
            const bool harmful = request.isHarmful();
            if (m_now - request.sentAt < (harmful ? timeToCrash : answerTime)) {
                ++index;
                continue;
            }
            m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(index));
            if (!harmful) {
                m_gateways[request.gateway]->recordCompleted(request.parts, request.sentAt, m_now);
                continue;
            }
            m_open.push_back(request);
            crash(request.upstream);
            index = 0;
        }
    }

    void crash(std::size_t upstream)
    {
        if (++m_result.crashes == 5)
            m_fifthCrash = m_now;
        m_upstreamBack[upstream] = m_now + restartTime;
        std::vector<Request> broken;
        std::erase_if(m_open, [&](const Request &request) {
            if (request.upstream == upstream)
                broken.push_back(request);
            return request.upstream == upstream;
        });
        for (const Request &request : broken)
            m_gateways[request.gateway]->recordBroken(
                    { .upstream = "u" + std::to_string(upstream), .promptParts = request.parts },
                    m_now);
        for (Request &request : broken) {
            if (std::exchange(request.retried, true)
                || m_gateways[request.gateway]->holdTime(request.parts, m_now))
                continue;
            send(request);
        }
    }

    std::size_t zoneOf(std::size_t gateway) const { return gateway % m_options.zones; }

    void exchange()
    {
        for (std::size_t sender = 0; sender < m_gateways.size(); ++sender) {
            if (isDue(newsInterval)) {
                QuarantineNews news = m_gateways[sender]->takeNews();
                if (isDue(reportInterval) || m_reportsHeld)
                    news.held = m_gateways[sender]->held(m_now);
                deliver(sender, news, PromptQuarantine::Origin::Group);
            }
            // The first gateway of each zone reports to the other zones.
            if (isDue(reportInterval) && sender < m_options.zones)
                deliver(sender, m_gateways[sender]->takeGroupNews(m_now),
                        PromptQuarantine::Origin::Other);
            if (isDue(newsInterval))
                m_gateways[sender]->update(m_now);
        }
        if (isDue(newsInterval))
            m_reportsHeld = false;
    }

    void deliver(std::size_t sender, const QuarantineNews &news, PromptQuarantine::Origin origin)
    {
        if (news.isEmpty())
            return;
        const bool toGroup = origin == PromptQuarantine::Origin::Group;
        for (std::size_t receiver = 0; receiver < m_gateways.size(); ++receiver) {
            const bool sameZone = zoneOf(receiver) == zoneOf(sender);
            if (receiver != sender && sameZone == toGroup
                && m_random.unit() >= m_options.lostDatagrams)
                m_gateways[receiver]->apply(news, origin, m_now);
        }
    }

    LoadOptions m_options;
    SeededRandom m_random;
    TimePoint m_now { start };
    std::vector<std::unique_ptr<PromptQuarantine>> m_gateways;
    std::vector<TimePoint> m_startedAt; ///< Of each gateway.
    bool m_reportsHeld { false };       ///< A gateway has restarted.
    std::vector<TimePoint> m_upstreamBack;
    std::vector<Request> m_open;
    std::optional<TimePoint> m_fifthCrash;
    LoadResult m_result;
};

// The users' rule: of the prompts with the part, at most three reach upstreams later than the
// propagation time after the fifth crash, and sound prompts with their other part are served.
void checkLoad(const LoadOptions &options)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        LoadOptions seeded = options;
        seeded.seed = seed;
        const LoadResult result = CrashingFleet(seeded).run(Seconds(26));
        const std::string context = std::to_string(options.gateways) + " gateways, seed "
                + std::to_string(seed) + ", " + std::to_string(result.crashes) + " crashes";
        BOOST_CHECK_MESSAGE(result.harmful > 5, context);
        BOOST_CHECK_MESSAGE(result.harmfulSentLate <= 3,
                            context + ", sent late: " + std::to_string(result.harmfulSentLate));
        BOOST_CHECK_MESSAGE(result.soundRejected * 20 <= result.sound,
                            context + ", rejected: " + std::to_string(result.soundRejected) + " of "
                                    + std::to_string(result.sound));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptQuarantineTests)

BOOST_AUTO_TEST_CASE(oneGatewayKeepsHarmfulPromptsFromUpstreams)
{
    checkLoad({ .gateways = 1 });
}

BOOST_AUTO_TEST_CASE(gatewaysKeepHarmfulPromptsFromUpstreamsTogether)
{
    checkLoad({ .gateways = 3 });
    checkLoad({ .gateways = 3, .harmfulShare = 0.2 });
    checkLoad({ .gateways = 30, .upstreams = 60 });
    checkLoad({ .gateways = 30, .upstreams = 60, .lostDatagrams = 0.3 });
}

BOOST_AUTO_TEST_CASE(groupsOfGatewaysKeepHarmfulPromptsFromUpstreamsTogether)
{
    checkLoad({ .gateways = 103, .zones = 5, .upstreams = 195, .requestsPerSecond = 90 });
    checkLoad({ .gateways = 103,
                .zones = 5,
                .upstreams = 195,
                .requestsPerSecond = 90,
                .harmfulShare = 0.01 });
}

BOOST_AUTO_TEST_CASE(restartedGatewaysLearnWhatIsHeld)
{
    checkLoad({ .gateways = 3, .gatewaysRestart = true });
    checkLoad({ .gateways = 30, .upstreams = 60, .gatewaysRestart = true });
}

BOOST_AUTO_TEST_CASE(quarantineEndsAndIsRenewedByTheNextCrash)
{
    PromptQuarantine quarantine;
    quarantine.apply({ .held = { { .parts = { "bad" },
                                   .left = PromptQuarantine::firstHold,
                                   .firstCrashAgo = Seconds(1) } } },
                     PromptQuarantine::Origin::Group, start);
    const TimePoint end = start + PromptQuarantine::firstHold;
    BOOST_CHECK(quarantine.holdTime({ "x", "bad" }, end - Seconds(1)) == Seconds(1));
    BOOST_CHECK(!quarantine.holdTime({ "x", "bad" }, end));
    quarantine.recordBroken({ .upstream = "u", .promptParts = { "x", "bad" } }, end);
    BOOST_CHECK(quarantine.holdTime({ "bad" }, end) == 2 * PromptQuarantine::firstHold);
    BOOST_CHECK(!quarantine.holdTime({ "x" }, end));
}

BOOST_AUTO_TEST_CASE(reportsOfLongListsOfPartsAreBounded)
{
    PromptQuarantine quarantine;
    const std::vector<std::string> parts(1'000, "part");
    for (int index = 0; index < 1'000; ++index)
        quarantine.recordBroken({ .upstream = "u", .promptParts = parts }, start);
    const QuarantineNews news = quarantine.takeNews();
    BOOST_CHECK_LE(news.broken.size(), 64);
    BOOST_CHECK_EQUAL(news.broken.front().promptParts.size(), CrashEvidence::maximumParts);
}

// Guards against a harmful part that is never held because no response counts as complete, where
// all of them end with their connections.
BOOST_AUTO_TEST_CASE(responsesThatEndWithTheirConnectionsAreCompletions)
{
    PromptQuarantine quarantine;
    TimePoint now = start;
    for (int index = 0; index < 4; ++index) {
        quarantine.recordCompletedAtClose("sound", { "shared" }, now, now);
        now += Milliseconds(500);
        quarantine.update(now);
    }
    for (int index = 0; index < 3; ++index) {
        quarantine.recordBroken(
                { .upstream = "u" + std::to_string(index), .promptParts = { "shared", "bad" } },
                now);
        now += Milliseconds(500);
        quarantine.update(now);
    }
    BOOST_CHECK(quarantine.holdTime({ "shared", "bad" }, now));
    BOOST_CHECK(!quarantine.holdTime({ "shared" }, now));
}

// Guards against a crash that counts as the end of a response, and so proves its prompt sound.
BOOST_AUTO_TEST_CASE(responsesThatEndInACrashAreNoCompletions)
{
    const BrokenAttempt broken { .upstream = "u", .promptParts = { "other" } };
    for (const Duration delay : { Milliseconds(-1'400), Milliseconds(0), Milliseconds(1'400) }) {
        PromptQuarantine quarantine;
        const QuarantineNews news {
            .held = { { .parts = { "part" }, .left = Seconds(100), .firstCrashAgo = Seconds(10) } }
        };
        quarantine.apply(news, PromptQuarantine::Origin::Group, start);
        if (delay <= Duration {})
            quarantine.recordBroken(broken, start + delay);
        quarantine.recordCompletedAtClose("u", { "part" }, start, start);
        if (delay > Duration {})
            quarantine.recordBroken(broken, start + delay);
        quarantine.update(start + Seconds(2));
        BOOST_CHECK(quarantine.holdTime({ "part" }, start + Seconds(2)));
        quarantine.recordCompletedAtClose("u", { "part" }, start + Seconds(3), start + Seconds(4));
        quarantine.update(start + Milliseconds(5'400));
        BOOST_CHECK(quarantine.holdTime({ "part" }, start + Milliseconds(5'400)));
        quarantine.update(start + Milliseconds(5'500));
        BOOST_CHECK(!quarantine.holdTime({ "part" }, start + Milliseconds(5'500)));
    }
}

// Guards against a harmful part that is never among the evidence, since many others stand before
// it.
BOOST_AUTO_TEST_CASE(harmfulPartBehindManyOthersIsHeld)
{
    PromptQuarantine quarantine;
    std::vector<std::string> parts;
    for (std::size_t index = 0; index < 2 * CrashEvidence::maximumParts; ++index)
        parts.push_back("shared-" + std::to_string(index));
    for (int index = 0; index < 3; ++index)
        quarantine.recordCompleted(parts, start, start);
    std::vector<std::string> harmful = parts;
    harmful.push_back("bad");
    TimePoint now = start;
    for (int index = 0; index < 3; ++index) {
        quarantine.recordBroken({ .upstream = "u" + std::to_string(index), .promptParts = harmful },
                                now);
        now += Milliseconds(500);
        quarantine.update(now);
    }
    BOOST_CHECK(quarantine.holdTime(harmful, now));
    BOOST_CHECK(!quarantine.holdTime(parts, now));
}

BOOST_AUTO_TEST_CASE(completedPromptEndsTheQuarantineAtAllGateways)
{
    PromptQuarantine first;
    PromptQuarantine second;
    const QuarantineNews news {
        .held = { { .parts = { "part" }, .left = Seconds(100), .firstCrashAgo = Seconds(1) } }
    };
    first.apply(news, PromptQuarantine::Origin::Group, start);
    second.apply(news, PromptQuarantine::Origin::Group, start);
    // It was sent before the first crash, so it proves nothing.
    first.recordCompleted({ "part" }, start - Seconds(2), start);
    BOOST_CHECK(first.holdTime({ "part" }, start));
    first.recordCompleted({ "part" }, start, start + Seconds(1));
    BOOST_CHECK(!first.holdTime({ "part" }, start + Seconds(1)));
    // The report that the part is held, sent before the release was known, comes late.
    first.apply({ .held = second.held(start + Seconds(1)) }, PromptQuarantine::Origin::Group,
                start + Seconds(1));
    BOOST_CHECK(!first.holdTime({ "part" }, start + Seconds(1)));
    second.apply(first.takeNews(), PromptQuarantine::Origin::Group, start + Seconds(1));
    BOOST_CHECK(!second.holdTime({ "part" }, start + Seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
