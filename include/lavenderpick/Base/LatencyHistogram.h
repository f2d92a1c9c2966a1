#pragma once

#include "lavenderpick/Base/Clock.h"

#include <array>
#include <cstdint>
#include <string>

namespace Lavenderpick {

/// Counts of durations in fixed ranges, so that those of many processes can be added up. Not safe
/// for concurrent use.
class LatencyHistogram
{
public:
    /// Upper bounds in seconds. They include the users' objectives (0.1, 0.3, 1.5 and 3 s), their
    /// longest pauses (0.25 and 0.6 s), their callers' patience (2 s) and timeouts (10 and 15 s).
    static constexpr std::array bounds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4,
                                         0.6,   1.0,  1.5,   2.0,  3.0, 5.0,  7.5, 10.0, 15.0 };

    void add(Duration duration);

    std::uint64_t count() const { return m_count; }

    /// Durations of at most `bounds[index]`.
    std::uint64_t atMost(std::size_t index) const;

    /// The series of a histogram in Prometheus text form. `labels` is empty or as in `Metrics`.
    std::string toPrometheusText(const std::string &name, const std::string &labels) const;

private:
    std::array<std::uint64_t, bounds.size()> m_counts {};
    std::uint64_t m_count { 0 };
    double m_sumSeconds { 0 };
};

} // namespace Lavenderpick
