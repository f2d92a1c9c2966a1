#pragma once

#include "Services/Load/Arrivals.h"
#include "lavenderpick/Base/Reasons.h"

#include <array>
#include <iosfwd>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick::Load {

/// What became of one request; times count from the intended send time.
struct RequestResult
{
    Arrival arrival;
    std::string refusal {}; ///< Reason; empty when the request was admitted.
    bool completed { false };
    double firstTokenSeconds { 0 };
    double responseSeconds { 0 };
    double idleFirstTokenSeconds { 0 }; ///< On an idle engine; 0 when not known.
    double idleResponseSeconds { 0 };
    double deadlineSeconds { 0 };
    double workSeconds { 0 }; ///< Engine time the prompt takes.
};

/// Durations in bins of 1 ms up to 2 s.
class GapHistogram
{
public:
    void add(double seconds, std::uint64_t count = 1);

    /// In seconds; 0 without samples.
    double quantile(double probability) const;

private:
    std::array<std::uint64_t, 2'001> m_bins {};
    std::uint64_t m_total { 0 };
};

/// Prompt lengths that are reported apart.
struct LengthClass
{
    std::string name;
    std::int64_t maximumTokens;
};

extern const std::vector<LengthClass> lengthClasses;

/// The measurements of one run. Safe for concurrent use.
class Results
{
public:
    explicit Results(Experiment experiment)
        : m_experiment(std::move(experiment))
    { }

    /// Results of the warm-up are dropped.
    void add(const RequestResult &result);
    void addGap(double atSeconds, double gapSeconds, std::uint64_t count);
    void countRetry(double atSeconds, const std::string &reason);
    void setCapacity(double workPerSecond) { m_capacity = workPerSecond; }

    const Experiment &experiment() const { return m_experiment; }
    std::vector<RequestResult> requests() const;

    nlohmann::json toJson() const;

private:
    bool measured(double atSeconds) const { return atSeconds >= m_experiment.warmupSeconds; }
    nlohmann::json classJson(const LengthClass &lengthClass, std::int64_t above) const;
    double fairness() const;

    mutable std::mutex m_mutex;
    Experiment m_experiment;
    std::vector<RequestResult> m_requests;
    GapHistogram m_gaps;
    std::map<std::string, std::uint64_t> m_retries;
    double m_capacity { 0 };
};

/// Writes one line per run.
void printTable(std::ostream &stream, const std::vector<nlohmann::json> &runs);

} // namespace Lavenderpick::Load
