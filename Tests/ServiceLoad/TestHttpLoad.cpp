#include "Services/Load/HttpLoad.h"
#include "lavenderpick/Http/HttpServer.h"
#include "lavenderpick/Http/ServerSentEvents.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace Lavenderpick;
using namespace Lavenderpick::Load;

namespace {

/// Answers completions with two tokens 20 ms apart, after `delay`.
class FakeEntry
{
public:
    explicit FakeEntry(Duration delay)
        : m_server({ .threads = 64 }, m_metrics)
    {
        m_server.routes().Post(
                "/v1/completions", [this, delay](const auto &request, auto &response) {
                    if (request.get_header_value("Authorization") == "Bearer poor")
                        return answerProblem(
                                response,
                                { .reason = RefusalReason::CustomerBudget, .detail = "Wait." });
                    response.set_chunked_content_provider(
                            "text/event-stream", [this, delay](auto, auto &sink) {
                                std::this_thread::sleep_for(delay);
                                write(sink, tokenEvent);
                                std::this_thread::sleep_for(Milliseconds(20));
                                write(sink, tokenEvent + formatServerSentEvent("[DONE]"));
                                sink.done();
                                ++m_answered;
                                return true;
                            });
                });
        m_port = m_server.start("127.0.0.1", 0);
    }

    ~FakeEntry() { m_server.stop(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    int answered() const { return m_answered; }

private:
    static void write(httplib::DataSink &sink, const std::string &text)
    {
        sink.write(text.data(), text.size());
    }

    const std::string tokenEvent = formatServerSentEvent(R"({"choices":[{"text":"abc "}]})");
    Metrics m_metrics;
    HttpServer m_server;
    int m_port { 0 };
    std::atomic<int> m_answered { 0 };
};

Experiment experiment(const FakeEntry &entry)
{
    Experiment result;
    result.mode = "http";
    result.seconds = 1;
    result.warmupSeconds = 0;
    result.rate = 40;
    result.lengths.maximum = 2'000;
    result.lengths.longMinimum = 2'000;
    result.http.addresses = { entry.address() };
    result.http.keys = { "rich", "poor" };
    result.http.model = "m";
    result.http.threads = 16;
    return result;
}

} // namespace

// Guards against lost tokens, gaps or refusal reasons in measurements over HTTP.
BOOST_AUTO_TEST_CASE(responses_and_refusals_are_measured)
{
    const FakeEntry entry(Milliseconds(30));
    Results results(experiment(entry));
    HttpLoad(results).run();
    const nlohmann::json report = results.toJson();
    const int refused = report["refusals"].value("customer_budget", 0);
    BOOST_TEST(refused > 0);
    BOOST_TEST(entry.answered() + refused == report["requests"].get<int>());
    BOOST_TEST(report["failed"].get<int>() == 0);
    BOOST_TEST(report["gap_s"]["p50"].get<double>() >= 0.018);
    BOOST_TEST(report["short"]["first_token_s"]["p50"].get<double>() >= 0.03);
}

// Guards against coordinated omission: the wait for a free thread belongs to the response time.
BOOST_AUTO_TEST_CASE(late_sends_count_from_the_intended_time)
{
    const FakeEntry entry(Milliseconds(100));
    Experiment plan = experiment(entry);
    plan.http.keys = { "rich" };
    plan.http.threads = 1;
    plan.rate = 30;
    Results results(plan);
    HttpLoad(results).run();
    BOOST_TEST(results.toJson()["short"]["first_token_s"]["p99"].get<double>() > 1.0);
}
