#include "lavenderpick/Base/LatencyHistogram.h"

#include <algorithm>
#include <numeric>
#include <sstream>

namespace Lavenderpick {

void LatencyHistogram::add(Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    ++m_count;
    m_sumSeconds += seconds;
    const auto bound = std::lower_bound(bounds.begin(), bounds.end(), seconds);
    if (bound != bounds.end())
        ++m_counts[static_cast<std::size_t>(bound - bounds.begin())];
}

std::uint64_t LatencyHistogram::atMost(std::size_t index) const
{
    return std::accumulate(m_counts.begin(),
                           m_counts.begin() + static_cast<std::ptrdiff_t>(index) + 1,
                           std::uint64_t { 0 });
}

std::string LatencyHistogram::toPrometheusText(const std::string &name,
                                               const std::string &labels) const
{
    const std::string prefix = labels.empty() ? labels : labels + ",";
    const std::string suffix = labels.empty() ? labels : "{" + labels + "}";
    std::ostringstream text;
    for (std::size_t index = 0; index < bounds.size(); ++index)
        text << name << "_bucket{" << prefix << "le=\"" << bounds[index] << "\"} " << atMost(index)
             << '\n';
    text << name << "_bucket{" << prefix << "le=\"+Inf\"} " << m_count << '\n';
    text << name << "_sum" << suffix << ' ' << m_sumSeconds << '\n';
    text << name << "_count" << suffix << ' ' << m_count << '\n';
    return text.str();
}

} // namespace Lavenderpick
