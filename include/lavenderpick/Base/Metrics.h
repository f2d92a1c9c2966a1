#pragma once

#include "lavenderpick/Base/LatencyHistogram.h"
#include "lavenderpick/Base/Reasons.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Lavenderpick {

/// Distribution of one measured quantity, kept by Boost.Accumulators. Not safe for concurrent use.
///
/// High quantiles come from an exact cache of the largest samples of a window, since lengths and
/// latencies here are bimodal and a P-square estimate misses the second mode.
class Distribution
{
public:
    Distribution();
    ~Distribution();
    Distribution(Distribution &&) noexcept;
    Distribution &operator=(Distribution &&) noexcept;

    void add(double value);

    std::uint64_t count() const;
    double sum() const;
    double maximum() const;

    /// The value below which `probability` (0.9 to 1) of the current window's samples lie; 0
    /// without samples.
    double quantile(double probability) const;

private:
    struct Accumulators;
    std::unique_ptr<Accumulators> m_accumulators;
};

/// Counters, gauges and distributions of a process, printed in Prometheus text form. Safe for
/// concurrent use.
class Metrics
{
public:
    /// `labels` is empty or text such as `reason="queue_full"`.
    void increment(const std::string &name, const std::string &labels = {},
                   std::uint64_t amount = 1);
    void setGauge(const std::string &name, const std::string &labels, double value);
    void observe(const std::string &name, const std::string &labels, double value);

    /// Adds to a histogram; `name` ends in `_seconds`.
    void observeLatency(const std::string &name, const std::string &labels, Duration duration);

    void countRefusal(RefusalReason reason);
    void countRetry(RetryReason reason);

    std::uint64_t counter(const std::string &name, const std::string &labels = {}) const;

    /// Every refusal and retry reason is listed, also those that never occurred.
    std::string toPrometheusText() const;

private:
    using Key = std::pair<std::string, std::string>;

    mutable std::mutex m_mutex;
    std::map<Key, std::uint64_t> m_counters;
    std::map<Key, double> m_gauges;
    std::map<Key, Distribution> m_distributions;
    std::map<Key, LatencyHistogram> m_histograms;
};

} // namespace Lavenderpick
