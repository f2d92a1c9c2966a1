#pragma once

#include <compare>
#include <cstdint>

namespace Lavenderpick {

/// A position in the history of the store.
///
/// A store that comes back from an older copy gives revisions out again and begins a new era, so
/// the era is compared first. Gateways compare and exchange positions as one number (`toNumber`);
/// in era 0, that of a store without eras, it is the revision.
struct StorePosition
{
    /// Revisions and eras beyond these limits are cut to them.
    static constexpr int revisionBits = 44;
    static constexpr std::int64_t highestRevision = (std::int64_t { 1 } << revisionBits) - 1;
    static constexpr std::int64_t highestEra = (std::int64_t { 1 } << (62 - revisionBits)) - 1;

    std::int64_t era { 0 };
    std::int64_t revision { 0 };

    auto operator<=>(const StorePosition &) const = default;

    /// Ordered like the positions.
    std::int64_t toNumber() const;
    static StorePosition fromNumber(std::int64_t number);
};

} // namespace Lavenderpick
