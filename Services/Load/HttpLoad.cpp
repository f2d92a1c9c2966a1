#include "Services/Load/HttpLoad.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Problem.h"
#include "lavenderpick/Http/ServerSentEvents.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace Lavenderpick::Load {

namespace {

constexpr std::int64_t bytesPerToken = 4;

// Text whose leading part is the same for all prompts of the customer and else differs by request.
std::string promptOf(const Arrival &arrival)
{
    const auto bytes = static_cast<std::size_t>(bytesPerToken * arrival.promptTokens);
    const auto shared = static_cast<std::size_t>(bytesPerToken * arrival.prefixTokens);
    std::string text(bytes, ' ');
    SeededRandom common(static_cast<std::uint64_t>(arrival.customer) + 1);
    SeededRandom own(static_cast<std::uint64_t>(arrival.atSeconds * 1e6));
    for (std::size_t place = 0; place < bytes; ++place) {
        const std::uint64_t letter = place < shared ? common.below(26) : own.below(26);
        if (place % 4 != 3)
            text[place] = static_cast<char>('a' + letter);
    }
    return text;
}

/// Receives the events of one response.
struct ResponseReader
{
    ServerSentEventParser parser;
    std::int64_t tokens { 0 };
    TimePoint first {};
    TimePoint last {};
    std::vector<Duration> gaps {};
    bool done { false };
    std::string failure {};

    bool read(std::string_view data, TimePoint now)
    {
        if (data == "[DONE]") {
            done = true;
            return true;
        }
        const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
        if (event.is_discarded())
            return true;
        if (event.contains("error")) {
            failure = event["error"].value("reason", "upstream_failed");
            return true;
        }
        if (event["choices"][0].value("text", "").empty())
            return true;
        if (tokens++ == 0)
            first = now;
        else
            gaps.push_back(now - last);
        last = now;
        return true;
    }
};

} // namespace

HttpLoad::HttpLoad(Results &results)
    : m_experiment(results.experiment())
    , m_results(results)
    , m_clients(m_clock)
    , m_arrivals(m_experiment, m_experiment.rate)
{ }

TimePoint HttpLoad::dueTime(double seconds) const
{
    return m_start
            + std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(seconds * m_experiment.timeScale));
}

double HttpLoad::intendedSeconds(TimePoint from, TimePoint to) const
{
    return std::chrono::duration<double>(to - from).count() / m_experiment.timeScale;
}

void HttpLoad::run()
{
    m_start = m_clock.now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(m_experiment.http.threads));
    for (int number = 0; number < m_experiment.http.threads; ++number)
        threads.emplace_back([this] { work(); });
    for (std::thread &thread : threads)
        thread.join();
}

std::optional<Arrival> HttpLoad::nextArrival()
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals.next();
}

void HttpLoad::work()
{
    while (const std::optional<Arrival> arrival = nextArrival()) {
        std::this_thread::sleep_until(dueTime(arrival->atSeconds));
        send(*arrival);
    }
}

void HttpLoad::send(const Arrival &arrival)
{
    const HttpTarget &target = m_experiment.http;
    const TimePoint due = dueTime(arrival.atSeconds);
    RequestResult result { .arrival = arrival };
    result.deadlineSeconds = m_experiment.deadlineFloorSeconds;
    result.workSeconds = static_cast<double>(arrival.promptTokens) * 1e-3;
    nlohmann::json body { { "model", target.model },
                          { "prompt", promptOf(arrival) },
                          { "max_tokens", arrival.outputTokens },
                          { "stream", true },
                          { "deadline_ms",
                            static_cast<std::int64_t>(1'000 * m_experiment.deadlineFloorSeconds
                                                      * m_experiment.timeScale) } };
    if (!target.priorities.empty())
        body["priority"] = arrival.isLong() ? target.priorities.back() : target.priorities.front();
    const auto key = static_cast<std::size_t>(arrival.customer) % target.keys.size();
    HttpRequest request { .method = "POST", .path = "/v1/completions", .body = body.dump() };
    request.headers.emplace("Authorization", "Bearer " + target.keys[key]);
    request.timeout = dueTime(m_experiment.deadlineFloorSeconds) - m_start;
    ResponseReader reader;
    try {
        const std::string &address = target.addresses[m_turn++ % target.addresses.size()];
        const HttpResponse response =
                m_clients.client(address).stream(request, [&](std::string_view piece) {
                    return reader.parser.feed(piece, [&](std::string_view data) {
                        return reader.read(data, m_clock.now());
                    });
                });
        if (response.status != 200)
            result.refusal = std::string(
                    toString(Problem::parse(nlohmann::json::parse(response.body)).reason));
    } catch (const std::exception &) {
        reader.failure = "connection";
    }
    result.completed = reader.done && reader.failure.empty();
    result.firstTokenSeconds = intendedSeconds(due, reader.first);
    result.responseSeconds = intendedSeconds(due, m_clock.now());
    m_results.add(result);
    for (const Duration gap : reader.gaps)
        m_results.addGap(arrival.atSeconds,
                         std::chrono::duration<double>(gap).count() / m_experiment.timeScale, 1);
}

} // namespace Lavenderpick::Load
