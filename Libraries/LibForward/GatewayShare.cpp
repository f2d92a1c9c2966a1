#include "lavenderpick/Forward/GatewayShare.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Lavenderpick {

namespace {

/// A number from 0 up to 1 that is the same for the same text at all gateways.
double hashedPosition(const std::string &text)
{
    constexpr double range = 18'446'744'073'709'551'616.0; // 2^64
    return std::min(static_cast<double>(XXH3_64bits(text.data(), text.size())) / range,
                    std::nextafter(1.0, 0.0));
}

} // namespace

std::optional<GatewayShare::Turns> GatewayShare::turns(const std::string &upstream,
                                                       double requestsPerSecond) const
{
    const double mostInSecond = std::max(1.0, std::floor(excess * requestsPerSecond));
    auto count = static_cast<double>(m_census.count);
    double senders = std::min(count, mostInSecond);
    double position = 0;
    if (m_census.state == GatewayCensus::State::Complete) {
        position = static_cast<double>(m_census.rank) / count + hashedPosition(upstream);
        position -= std::floor(position);
    } else {
        // Gateways that started together know different parts of the list, so that their ranks
        // don't fit together. The chance of each is a quarter of the limit to what it knows, which
        // adds up to about the limit if the n-th of 330 knows n.
        const std::size_t least =
                m_census.state == GatewayCensus::State::Unlisted ? unlistedCount : settlingCount;
        count = std::max(static_cast<double>(least), 2 * count);
        senders = std::clamp(requestsPerSecond / 2, 1.0, count);
        position = hashedPosition(m_ownName + '\n' + upstream);
    }
    const double share = senders / count;
    if (position >= share)
        return std::nullopt;
    // Each sender gets at most so many turns in a second that all together keep the excess.
    const double turnsInSecond = m_census.state == GatewayCensus::State::Complete
            ? std::floor(mostInSecond / senders)
            : 1;
    const double spacing = std::max(senders, requestsPerSecond / std::max(1.0, turnsInSecond));
    return Turns { .first = position / share * spacing, .spacing = spacing };
}

} // namespace Lavenderpick
