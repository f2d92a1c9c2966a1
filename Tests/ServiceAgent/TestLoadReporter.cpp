#include "Services/Agent/LoadReporter.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Lavenderpick;

namespace {

constexpr const char *clusterKey = "key";

struct ReportedUpstream
{
    ReportedUpstream()
    {
        gate.setReady(true);
        gate.setModels({ "lavender-1" });
    }

    void subscribe(const std::string &entry, Milliseconds interval)
    {
        const Subscribe message { .entry = entry, .reportIntervalMilliseconds = interval.count() };
        reporter.receive(encodeDatagram(message, clusterKey), entry + "-socket", 1);
    }

    /// Lets time pass with a load that changes all the time.
    void run(Seconds duration)
    {
        for (Milliseconds passed {}; passed < duration; passed += Milliseconds(250)) {
            clock.advance(Milliseconds(250));
            gate.setEngineLoad(EngineLoad { .kvCapacity = 1'000'000, .prefillBacklog = ++backlog });
            reporter.tick(1);
        }
    }

    std::size_t reportsTo(const std::string &entry) const
    {
        return static_cast<std::size_t>(
                std::count(receivers.begin(), receivers.end(), entry + "-socket"));
    }

    ManualClock clock;
    UpstreamGate gate { {}, clock };
    std::vector<std::string> receivers;
    std::int64_t backlog { 0 };
    LoadReporter reporter { { .upstream = "engine-1", .incarnation = 1, .clusterKey = clusterKey },
                            gate,
                            clock,
                            [this](const std::string &address, const std::string &) {
                                receivers.push_back(address);
                            } };
};

} // namespace

// Guards against reports beyond the control budget of an entry that watches many agents.
BOOST_AUTO_TEST_CASE(reports_keep_the_interval_of_each_entry)
{
    ReportedUpstream upstream;
    upstream.subscribe("near", Seconds(1));
    upstream.subscribe("busy", Seconds(5));
    upstream.run(Seconds(10));
    BOOST_TEST(upstream.reportsTo("near") == 11u);
    BOOST_TEST(upstream.reportsTo("busy") == 3u);
}

// Guards against renewals that each cost a report.
BOOST_AUTO_TEST_CASE(renewal_is_not_answered_before_a_report_is_due)
{
    ReportedUpstream upstream;
    for (int renewal = 0; renewal < 10; ++renewal)
        upstream.subscribe("near", Seconds(5));
    BOOST_TEST(upstream.reportsTo("near") == 1u);
}

// Guards against entries that keep sending to a leaving upstream until the next report is due.
BOOST_AUTO_TEST_CASE(refusal_of_new_work_is_reported_at_once)
{
    ReportedUpstream upstream;
    upstream.subscribe("busy", Seconds(5));
    upstream.run(Seconds(6));
    const std::size_t before = upstream.reportsTo("busy");
    upstream.gate.applyPlan({ .upstream = "engine-1", .action = PlanAction::Stop }, 1);
    upstream.reporter.tick(1);
    BOOST_TEST(upstream.reportsTo("busy") == before + 1);
}
