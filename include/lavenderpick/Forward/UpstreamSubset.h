#pragma once

#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Selects the upstreams that one gateway uses. Not safe for concurrent use.
///
/// With hundreds of gateways and thousands of upstreams, scoring every upstream takes milliseconds
/// per request, and all gateways would choose the same ones. Each gateway selects its own subset by
/// rendezvous hashing, which changes little when upstreams are added or removed.
class UpstreamSubset
{
public:
    /// Nearly four times the 17 upstreams that the longest prompts are split over. With 330
    /// gateways and 4,800 upstreams, about four gateways share each upstream.
    static constexpr std::size_t maximumSize = 64;
    /// Share of the subset in the gateway's own zone; the rest is used when the zone fails.
    static constexpr double ownZoneShare = 0.75;

    UpstreamSubset(std::string gateway, std::string availabilityZone)
        : m_gateway(std::move(gateway))
        , m_availabilityZone(std::move(availabilityZone))
    { }

    /// Whether to use only the upstreams of the gateway's own zone, where there are more than
    /// `maximumSize` in all.
    void setOwnZoneOnly(bool ownZoneOnly) { m_ownZoneOnly = ownZoneOnly; }

    bool isOwnZoneOnly() const { return m_ownZoneOnly; }

    /// The ready upstreams of the service that this gateway uses: all of them up to `maximumSize`.
    /// Valid until the directory changes.
    const std::vector<const UpstreamRecord *> &select(const UpstreamDirectory &directory,
                                                      const std::string &service);

private:
    struct Selection
    {
        std::uint64_t generation { 0 };
        bool ownZoneOnly { false };
        std::vector<const UpstreamRecord *> upstreams;
    };

    std::vector<const UpstreamRecord *>
    computeSelection(const std::vector<const UpstreamRecord *> &ready) const;

    std::string m_gateway;
    std::string m_availabilityZone;
    bool m_ownZoneOnly { false };
    std::map<std::string, Selection> m_selections; ///< By service.
};

} // namespace Lavenderpick
