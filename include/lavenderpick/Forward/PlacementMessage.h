#pragma once

#include "lavenderpick/Forward/PeerDirectory.h"
#include "lavenderpick/Forward/PlacementEvent.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

/// The sender's fields of a placement message.
struct PlacementSender
{
    PeerReport report; ///< `compact` is not encoded: the sender of this form reads it too.
    std::int64_t configurationRevision { 0 };
    /// Time since the store responded to the sender; empty if that was too long ago to be of use.
    std::optional<Duration> storeResponseAge {};

    bool operator==(const PlacementSender &) const = default;
};

/// A datagram with placement events in binary form.
///
/// Load: each placement is sent to all gateways of the group, two or three datagrams for each
/// request. As JSON, building and parsing them took most of a small VM's processor time.
struct PlacementMessage
{
    /// First byte of a message. The first bytes of all versions are continuation bytes of UTF-8,
    /// with which no JSON text begins.
    static constexpr std::uint8_t version = 0x81;
    /// Keeps a message of split prompts below the largest datagram. `decode` rejects more.
    static constexpr std::size_t maximumEvents = 256;

    PlacementSender sender; ///< Its texts are parts of the decoded bytes.
    std::vector<PlacementEvent> events;

    bool operator==(const PlacementMessage &) const = default;

    /// Whether a datagram has the binary form, in this version or another.
    static bool isBinary(std::string_view datagram);

    /// Encodes at most `maximumEvents`. Times are encoded relative to `now`, in whole milliseconds;
    /// numbers outside the range that `decode` accepts become the nearest in it.
    static std::string encode(const PlacementSender &sender, std::span<const PlacementEvent> events,
                              TimePoint now);

    /// Replaces this message, and keeps the storage of its events for reuse. Events of types that
    /// only newer versions know are left out, and so is what newer versions add to an event. Throws
    /// `Error` of kind InvalidMessage.
    void decode(std::string_view datagram, TimePoint now);
};

} // namespace Lavenderpick
