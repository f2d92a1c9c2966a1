#include "lavenderpick/Membership/ReportInterval.h"

#include <algorithm>

namespace Lavenderpick {

Duration reportIntervalFor(std::size_t watchedAgents)
{
    // A report has about 150 bytes on the wire. 1,300 bytes/s of reports leave room for gossip,
    // polls and document changes within the 2 KB/s of control traffic that a node may receive.
    constexpr std::size_t reportBytes = 150;
    constexpr std::size_t maximumReportBytesPerSecond = 1'300;
    const Milliseconds interval(watchedAgents * reportBytes * 1'000 / maximumReportBytesPerSecond);
    return std::clamp<Duration>(interval, minimumReportInterval, maximumReportInterval);
}

} // namespace Lavenderpick
