#include "Services/Load/Results.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <ostream>

namespace Lavenderpick::Load {

const std::vector<LengthClass> lengthClasses {
    { "to_4k", 4'000 },
    { "to_16k", 16'000 },
    { "to_100k", 100'000 },
    { "to_1m", 1'000'000 },
};

namespace {

// Slowdown is reported for the prompts that a caller waits for.
constexpr std::int64_t shortTokens = 16'000;

double quantile(std::vector<double> values, double probability)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const double place = probability * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::llround(place))];
}

nlohmann::json quantiles(const std::vector<double> &values)
{
    return { { "p50", quantile(values, 0.5) },
             { "p95", quantile(values, 0.95) },
             { "p99", quantile(values, 0.99) } };
}

bool inTime(const RequestResult &result)
{
    return result.completed
            && (result.deadlineSeconds <= 0 || result.responseSeconds <= result.deadlineSeconds);
}

} // namespace

void GapHistogram::add(double seconds, std::uint64_t count)
{
    const auto bin = static_cast<std::size_t>(std::max(0.0, seconds * 1'000));
    m_bins[std::min(bin, m_bins.size() - 1)] += count;
    m_total += count;
}

double GapHistogram::quantile(double probability) const
{
    const double wanted = probability * static_cast<double>(m_total);
    double seen = 0;
    for (std::size_t bin = 0; bin < m_bins.size(); ++bin) {
        seen += static_cast<double>(m_bins[bin]);
        if (seen >= wanted && m_total > 0)
            return static_cast<double>(bin) / 1'000;
    }
    return 0;
}

void Results::add(const RequestResult &result)
{
    const std::lock_guard lock(m_mutex);
    if (measured(result.arrival.atSeconds))
        m_requests.push_back(result);
}

void Results::addGap(double atSeconds, double gapSeconds, std::uint64_t count)
{
    const std::lock_guard lock(m_mutex);
    if (measured(atSeconds))
        m_gaps.add(gapSeconds, count);
}

void Results::countRetry(double atSeconds, const std::string &reason)
{
    const std::lock_guard lock(m_mutex);
    if (measured(atSeconds))
        ++m_retries[reason];
}

std::vector<RequestResult> Results::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

nlohmann::json Results::classJson(const LengthClass &lengthClass, std::int64_t above) const
{
    std::vector<double> firstToken;
    std::vector<double> slowdown;
    std::size_t requests = 0;
    std::size_t refused = 0;
    for (const RequestResult &result : m_requests) {
        const std::int64_t tokens = result.arrival.promptTokens;
        if (tokens <= above || tokens > lengthClass.maximumTokens)
            continue;
        ++requests;
        refused += result.refusal.empty() ? 0 : 1;
        if (!result.completed)
            continue;
        firstToken.push_back(result.firstTokenSeconds);
        if (result.idleResponseSeconds > 0)
            slowdown.push_back(result.responseSeconds / result.idleResponseSeconds);
    }
    return { { "requests", requests },
             { "refused", refused },
             { "first_token_s", quantiles(firstToken) },
             { "slowdown", quantiles(slowdown) } };
}

double Results::fairness() const
{
    // Jain's index over the share of each customer's offered work that was done in time.
    std::map<int, std::pair<double, double>> work;
    for (const RequestResult &result : m_requests) {
        auto &[offered, done] = work[result.arrival.customer];
        offered += result.workSeconds;
        done += inTime(result) ? result.workSeconds : 0;
    }
    double sum = 0;
    double squares = 0;
    for (const auto &[customer, amounts] : work) {
        const double share = amounts.first > 0 ? amounts.second / amounts.first : 1;
        sum += share;
        squares += share * share;
    }
    return squares > 0 ? sum * sum / (static_cast<double>(work.size()) * squares) : 1;
}

nlohmann::json Results::toJson() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json classes = nlohmann::json::object();
    std::int64_t above = 0;
    for (const LengthClass &lengthClass : lengthClasses) {
        classes[lengthClass.name] = classJson(lengthClass, above);
        above = lengthClass.maximumTokens;
    }
    std::map<std::string, std::uint64_t> refusals;
    std::uint64_t missed = 0;
    std::uint64_t failed = 0;
    std::uint64_t done = 0;
    double work = 0;
    double others = 0;
    double othersDone = 0;
    for (const RequestResult &result : m_requests) {
        others += result.arrival.customer > 0 ? 1 : 0;
        othersDone += result.arrival.customer > 0 && inTime(result) ? 1 : 0;
        if (!result.refusal.empty())
            ++refusals[result.refusal];
        else if (!result.completed)
            ++failed;
        else if (!inTime(result))
            ++missed;
        done += inTime(result) ? 1 : 0;
        work += inTime(result) ? result.workSeconds : 0;
    }
    const double seconds = std::max(1e-9, m_experiment.seconds - m_experiment.warmupSeconds);
    return {
        { "name", m_experiment.name },
        { "requests", m_requests.size() },
        { "short", classJson({ "short", shortTokens }, 0) },
        { "classes", classes },
        { "gap_s",
          { { "p50", m_gaps.quantile(0.5) },
            { "p95", m_gaps.quantile(0.95) },
            { "p99", m_gaps.quantile(0.99) } } },
        { "goodput_requests_per_s", static_cast<double>(done) / seconds },
        { "goodput_work", m_capacity > 0 ? work / seconds / m_capacity : 0 },
        { "refusals", refusals },
        { "retries", m_retries },
        { "failed", failed },
        { "deadline_missed", missed },
        { "fairness", fairness() },
        { "others_in_time", others > 0 ? othersDone / others : 1 }, // All but the first customer.
    };
}

void printTable(std::ostream &stream, const std::vector<nlohmann::json> &runs)
{
    char line[256];
    std::snprintf(line, sizeof line,
                  "%-28s %7s %6s | %6s %6s %6s | %7s %7s | %5s %5s | %5s | %6s "
                  "%5s | %4s %4s %5s | %4s\n",
                  "run", "reqs", "refus%", "tt50", "tt95", "tt99", "tt95", "tt95", "sl50", "sl95",
                  "gap95", "good/s", "work", "miss", "fail", "retry", "fair");
    stream << line;
    std::snprintf(line, sizeof line, "%-28s %7s %6s | %20s | %7s %7s | %11s |\n", "", "", "",
                  "short (to 16k), s", "to100k", "to1m", "short");
    stream << line;
    for (const nlohmann::json &run : runs) {
        const auto requests = run["requests"].get<double>();
        double refused = 0;
        for (const auto &[reason, number] : run["refusals"].items())
            refused += number.get<double>();
        std::uint64_t retries = 0;
        for (const auto &[reason, number] : run["retries"].items())
            retries += number.get<std::uint64_t>();
        const nlohmann::json &first = run["short"]["first_token_s"];
        const auto p95 = [&run](const char *name) {
            return run["classes"][name]["first_token_s"]["p95"].get<double>();
        };
        std::snprintf(
                line, sizeof line,
                "%-28s %7.0f %6.1f | %6.3f %6.3f %6.3f | %7.2f %7.1f | %5.2f %5.2f | %5.3f | "
                "%6.1f %5.2f | %4d %4d %5d | %4.2f\n",
                run["name"].get<std::string>().c_str(), requests,
                100 * refused / std::max(1.0, requests), first["p50"].get<double>(),
                first["p95"].get<double>(), first["p99"].get<double>(), p95("to_100k"),
                p95("to_1m"), run["short"]["slowdown"]["p50"].get<double>(),
                run["short"]["slowdown"]["p95"].get<double>(), run["gap_s"]["p95"].get<double>(),
                run["goodput_requests_per_s"].get<double>(), run["goodput_work"].get<double>(),
                run["deadline_missed"].get<int>(), run["failed"].get<int>(),
                static_cast<int>(retries), run["fairness"].get<double>());
        stream << line;
    }
}

} // namespace Lavenderpick::Load
