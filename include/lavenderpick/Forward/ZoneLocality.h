#pragma once

#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <string>
#include <vector>

namespace Lavenderpick {

/// Decides whether the gateways of each availability zone place generations at the engines of their
/// own zone only, so that they need to tell only each other what they place.
class ZoneLocality
{
public:
    /// Engines that each zone must have. With 26, the longest prompts, split over 17, delayed most
    /// streams of their zone.
    static constexpr std::size_t minimumEngines = 32;
    /// Engines below which zones are joined again. Lower than `minimumEngines`, so that a few
    /// restarts don't change the decision back and forth.
    static constexpr std::size_t minimumEnginesToStay = 20;

    explicit ZoneLocality(std::string ownZone)
        : m_ownZone(std::move(ownZone))
    { }

    /// Decides anew for the ready engines of all zones.
    void update(const std::vector<const UpstreamRecord *> &engines);

    bool isLocal() const { return m_isLocal; }

private:
    std::string m_ownZone;
    bool m_isLocal { false };
};

} // namespace Lavenderpick
