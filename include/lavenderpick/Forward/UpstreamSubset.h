#pragma once

#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderpick {

/// The upstreams among which one gateway places its requests. Not safe for concurrent use.
///
/// The load that it answers: hundreds of gateways before thousands of upstreams. Weighing all of
/// them takes milliseconds a request, and all gateways would gather at the same ones. Each gateway
/// draws its own few by a hash, so that they change little as upstreams come and go.
class UpstreamSubset
{
public:
    /// The longest prompts are split over 17 upstreams; this leaves a choice among nearly four
    /// times as many, and at 330 gateways before 4,800 upstreams some four gateways share each.
    static constexpr std::size_t maximumSize = 64;
    /// Of the subset from the gateway's own zone; the rest serves when the zone is lost.
    static constexpr double ownZoneShare = 0.75;

    UpstreamSubset(std::string gateway, std::string availabilityZone)
        : m_gateway(std::move(gateway))
        , m_availabilityZone(std::move(availabilityZone))
    { }

    /// Those of the service's ready upstreams that this gateway uses: all while they are few. Valid
    /// until the directory changes.
    const std::vector<const UpstreamRecord *> &select(const UpstreamDirectory &directory,
                                                      const std::string &service);

private:
    struct Selection
    {
        std::uint64_t generation { 0 };
        std::vector<const UpstreamRecord *> upstreams;
    };

    std::vector<const UpstreamRecord *>
    computeSelection(const std::vector<const UpstreamRecord *> &ready) const;

    std::string m_gateway;
    std::string m_availabilityZone;
    std::map<std::string, Selection> m_selections; ///< By service.
};

} // namespace Lavenderpick
