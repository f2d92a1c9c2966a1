#pragma once

#include "Services/Load/Experiment.h"
#include "lavenderpick/Base/Random.h"

#include <optional>

namespace Lavenderpick::Load {

/// One request of an experiment.
struct Arrival
{
    double atSeconds { 0 }; ///< Intended send time; measurements start here.
    int customer { 0 };
    std::int64_t promptTokens { 0 };
    std::int64_t prefixTokens { 0 }; ///< Leading tokens shared with the customer's other prompts.
    std::int64_t outputTokens { 0 };

    bool isLong() const { return promptTokens > 100'000; }
};

/// Open-loop arrivals: a Poisson process that does not wait for responses.
class Arrivals
{
public:
    /// `rate` is in requests a second before the schedule's factor.
    Arrivals(const Experiment &experiment, double rate);

    /// The next arrival; nothing after the end of the run.
    std::optional<Arrival> next();

    /// Share of a customer in the requests without a flood.
    double customerShare(int customer) const;

private:
    std::int64_t promptTokens();
    int customer();
    double factorAt(double seconds) const;

    const Experiment &m_experiment;
    SeededRandom m_random;
    double m_rate;
    double m_now { 0 };
    std::vector<double> m_customerWeights;
    double m_weightSum { 0 };
    double m_flood { 0 }; ///< Share of requests that the first customer sends on top of its own.
};

} // namespace Lavenderpick::Load
