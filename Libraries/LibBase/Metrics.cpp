#include "lavenderpick/Base/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <cmath>
#include <sstream>

namespace Lavenderpick {

namespace {

namespace acc = boost::accumulators;

using Total =
        acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;
using Window = acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::max, acc::tag::tail_quantile<acc::right>>>;

// A cache of a tenth of the window makes every quantile from 0.9 upwards exact.
constexpr std::size_t windowSamples = 4096;
constexpr std::size_t tailCacheSamples = windowSamples / 10 + 2;

Window emptyWindow()
{
    return Window(acc::tag::tail<acc::right>::cache_size = tailCacheSamples);
}

std::string seriesName(const std::string &name, const std::string &labels,
                       const std::string &extra = {})
{
    const std::string separator = labels.empty() || extra.empty() ? "" : ",";
    const std::string all = labels + separator + extra;
    return all.empty() ? name : name + "{" + all + "}";
}

std::string reasonLabel(std::string_view reason)
{
    return "reason=\"" + std::string(reason) + "\"";
}

constexpr const char *refusalsName = "lavenderpick_refusals_total";
constexpr const char *retriesName = "lavenderpick_retries_total";

} // namespace

struct Distribution::Accumulators
{
    Total total;
    Window current { emptyWindow() };
    Window previous { emptyWindow() };
};

Distribution::Distribution()
    : m_accumulators(std::make_unique<Accumulators>())
{ }

Distribution::~Distribution() = default;
Distribution::Distribution(Distribution &&) noexcept = default;
Distribution &Distribution::operator=(Distribution &&) noexcept = default;

void Distribution::add(double value)
{
    m_accumulators->total(value);
    m_accumulators->current(value);
    if (acc::count(m_accumulators->current) < windowSamples)
        return;
    m_accumulators->previous = m_accumulators->current;
    m_accumulators->current = emptyWindow();
}

std::uint64_t Distribution::count() const
{
    return acc::count(m_accumulators->total);
}

double Distribution::sum() const
{
    return acc::sum(m_accumulators->total);
}

double Distribution::maximum() const
{
    return count() == 0 ? 0 : acc::max(m_accumulators->total);
}

double Distribution::quantile(double probability) const
{
    // A young window has too few samples for a stable tail, so the full one before it is used.
    constexpr std::size_t stableSamples = windowSamples / 8;
    const bool useCurrent = acc::count(m_accumulators->current) >= stableSamples
            || acc::count(m_accumulators->previous) == 0;
    const Window &window = useCurrent ? m_accumulators->current : m_accumulators->previous;
    if (acc::count(window) == 0)
        return 0;
    // The library has no quantile for a window whose tail would be all of its samples.
    const double value = acc::quantile(window, acc::quantile_probability = probability);
    return std::isnan(value) ? acc::max(window) : value;
}

void Metrics::increment(const std::string &name, const std::string &labels, std::uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[{ name, labels }] += amount;
}

void Metrics::setGauge(const std::string &name, const std::string &labels, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[{ name, labels }] = value;
}

void Metrics::observe(const std::string &name, const std::string &labels, double value)
{
    const std::lock_guard lock(m_mutex);
    m_distributions[{ name, labels }].add(value);
}

void Metrics::observeLatency(const std::string &name, const std::string &labels, Duration duration)
{
    const std::lock_guard lock(m_mutex);
    m_histograms[{ name, labels }].add(duration);
}

void Metrics::countRefusal(RefusalReason reason)
{
    increment(refusalsName, reasonLabel(toString(reason)));
}

void Metrics::countRetry(RetryReason reason)
{
    increment(retriesName, reasonLabel(toString(reason)));
}

std::uint64_t Metrics::counter(const std::string &name, const std::string &labels) const
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_counters.find({ name, labels });
    return position == m_counters.end() ? 0 : position->second;
}

std::string Metrics::toPrometheusText() const
{
    const std::lock_guard lock(m_mutex);
    auto counters = m_counters;
    for (int reason = 0; reason < refusalReasonCount; ++reason)
        counters.try_emplace(
                { refusalsName, reasonLabel(toString(static_cast<RefusalReason>(reason))) }, 0);
    for (int reason = 0; reason < retryReasonCount; ++reason)
        counters.try_emplace(
                { retriesName, reasonLabel(toString(static_cast<RetryReason>(reason))) }, 0);

    std::ostringstream text;
    for (const auto &[key, value] : counters)
        text << seriesName(key.first, key.second) << ' ' << value << '\n';
    for (const auto &[key, value] : m_gauges)
        text << seriesName(key.first, key.second) << ' ' << value << '\n';
    for (const auto &[key, distribution] : m_distributions) {
        for (const char *probability : { "0.95", "0.99" })
            text << seriesName(key.first, key.second,
                               std::string("quantile=\"") + probability + "\"")
                 << ' ' << distribution.quantile(std::stod(probability)) << '\n';
        text << seriesName(key.first + "_count", key.second) << ' ' << distribution.count() << '\n';
        text << seriesName(key.first + "_sum", key.second) << ' ' << distribution.sum() << '\n';
        text << seriesName(key.first + "_max", key.second) << ' ' << distribution.maximum() << '\n';
    }
    for (const auto &[key, histogram] : m_histograms)
        text << histogram.toPrometheusText(key.first, key.second);
    return text.str();
}

} // namespace Lavenderpick
