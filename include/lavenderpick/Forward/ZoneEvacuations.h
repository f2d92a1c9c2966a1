#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Whether an availability zone is evacuated, as of a revision of the store.
struct ZoneEvacuation
{
    std::string zone;
    std::int64_t revision { 0 };
    bool evacuated { false };

    bool operator==(const ZoneEvacuation &) const = default;
};

/// Evacuations as the store or a peer reported them.
struct EvacuationUpdate
{
    std::vector<ZoneEvacuation> zones;
    /// Revision of a complete listing, in which `zones` are all evacuated zones. Empty if other
    /// zones may be evacuated too.
    std::optional<std::int64_t> listedAt {};

    bool operator==(const EvacuationUpdate &) const = default;
};

/// The availability zones that the operator has evacuated.
///
/// Load: requests keep arriving while the store serves only some gateways, so one change reaches a
/// gateway from listings, from the store's changes and from several peers, repeatedly and in any
/// order. For each zone the highest revision holds. A complete listing counts as an update of each
/// zone that it lacks, also of those that a peer reports later with an older revision.
///
/// The first listing of a new era (`StorePosition`) ends no evacuation: the store came back from an
/// older copy, in which the row may be missing until the operator writes it again.
///
/// Ended evacuations are kept, so that peers without access to the store learn of the end.
class ZoneEvacuations
{
public:
    static constexpr std::size_t maximumZones { 64 };
    /// Bounds the datagrams that carry all entries.
    static constexpr std::size_t maximumZoneBytes { 128 };

    struct Result
    {
        std::vector<ZoneEvacuation> changes; ///< Zones that became evacuated or ceased to be.
        std::vector<std::string> ignored;    ///< Zones beyond the limits above.
        bool isNews { false };               ///< An entry was added or has a higher revision.

        bool operator==(const Result &) const = default;
    };

    Result apply(const EvacuationUpdate &update);

    bool isEvacuated(const std::string &zone) const;

    /// All known zones, also those whose evacuation has ended.
    std::vector<ZoneEvacuation> entries() const;

    std::size_t evacuatedCount() const;
    bool isEmpty() const { return m_zones.empty(); }

    bool operator==(const ZoneEvacuations &) const = default;

private:
    void applyEntry(const ZoneEvacuation &entry, Result &result);
    void endMissing(const EvacuationUpdate &listing, Result &result);

    std::map<std::string, ZoneEvacuation> m_zones; ///< By name.
    std::int64_t m_listedAt { 0 };                 ///< Revision of the newest complete listing.
};

} // namespace Lavenderpick
