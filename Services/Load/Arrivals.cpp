#include "Services/Load/Arrivals.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Lavenderpick::Load {

Arrivals::Arrivals(const Experiment &experiment, double rate)
    : m_experiment(experiment)
    , m_random(experiment.seed)
    , m_rate(rate)
{
    for (int number = 0; number < experiment.customers; ++number) {
        m_customerWeights.push_back(std::pow(number + 1.0, -experiment.customerSkew));
        m_weightSum += m_customerWeights.back();
    }
    const double extra = m_customerWeights.front() * (experiment.floodFactor - 1);
    m_rate *= 1 + extra / m_weightSum;
    m_flood = extra / (m_weightSum + extra);
}

double Arrivals::customerShare(int customer) const
{
    return m_customerWeights[static_cast<std::size_t>(customer)] / m_weightSum;
}

double Arrivals::factorAt(double seconds) const
{
    double factor = 1;
    for (const Phase &phase : m_experiment.phases) {
        if (phase.atSeconds <= seconds)
            factor = phase.factor;
    }
    return factor;
}

std::int64_t Arrivals::promptTokens()
{
    const LengthMix &mix = m_experiment.lengths;
    double tokens = 0;
    if (m_random.unit() < mix.longShare) {
        const double ratio =
                static_cast<double>(mix.maximum) / static_cast<double>(mix.longMinimum);
        tokens = static_cast<double>(mix.longMinimum) * std::pow(ratio, m_random.unit());
    } else {
        const double normal = std::sqrt(-2 * std::log(1 - m_random.unit()))
                * std::cos(2 * std::numbers::pi * m_random.unit());
        tokens = std::min(mix.median * std::exp(mix.spread * normal),
                          static_cast<double>(mix.longMinimum));
    }
    return std::clamp(static_cast<std::int64_t>(tokens), mix.minimum, mix.maximum);
}

int Arrivals::customer()
{
    if (m_flood > 0 && m_random.unit() < m_flood)
        return 0;
    double choice = m_random.unit() * m_weightSum;
    int number = 0;
    while (number + 1 < m_experiment.customers
           && choice >= m_customerWeights[static_cast<std::size_t>(number)]) {
        choice -= m_customerWeights[static_cast<std::size_t>(number)];
        ++number;
    }
    return number;
}

std::optional<Arrival> Arrivals::next()
{
    m_now -= std::log(1 - m_random.unit()) / (m_rate * std::max(1e-6, factorAt(m_now)));
    if (m_now > m_experiment.seconds)
        return std::nullopt;
    Arrival arrival { .atSeconds = m_now, .customer = customer(), .promptTokens = promptTokens() };
    const double output = -m_experiment.lengths.outputMean * std::log(1 - m_random.unit());
    arrival.outputTokens = std::max<std::int64_t>(1, static_cast<std::int64_t>(output));
    if (m_random.unit() < m_experiment.prefixShare)
        arrival.prefixTokens = std::min(m_experiment.prefixTokens, arrival.promptTokens / 2);
    return arrival;
}

} // namespace Lavenderpick::Load
