#pragma once

#include "lavenderpick/Platform/Table.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Lavenderpick {

/// State of a non-idempotent call. An absent record means "not started".
enum class CallState {
    Started,
    Done,
    Cancelled,
};

std::string_view toString(CallState state);

/// Throws `Error` of kind InvalidMessage for any other text than started, done or cancelled.
CallState parseCallState(std::string_view text);

/// Names a call across entries: the idempotency key in the customer's own space of keys.
struct CallKey
{
    std::string customer;
    std::string key;

    auto operator<=>(const CallKey &) const = default;

    /// The row of the record. Slashes in the customer's name are escaped, so that two pairs of
    /// customer and key never share a row.
    RowKey row() const;
};

/// The stored state of one call.
struct CallRecord
{
    CallState state { CallState::Started };
    std::string digest {};      ///< Digest of the request; empty when a look-up cancelled the call.
    std::string token {};       ///< Unique to the writer of this state, see `StartClaim`.
    std::string agent {};       ///< Started and done: the agent that owns the call.
    int status { 0 };           ///< Done: HTTP status of the service.
    std::string body {};        ///< Done: the service's answer, empty if `bodyObject` is set.
    std::string contentType {}; ///< Done.
    std::string bodyObject {};  ///< Done: the object that holds a large body.
    std::int64_t startedAt {
        0
    }; ///< Seconds since the Unix epoch when the state was entered first.
    std::int64_t expiresAt { 0 }; ///< Seconds since the Unix epoch after which it may be removed.

    bool operator==(const CallRecord &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static CallRecord parse(const nlohmann::json &json);
};

struct VersionedCallRecord
{
    RowVersion version { 0 };
    CallRecord record {};

    bool operator==(const VersionedCallRecord &) const = default;
};

} // namespace Lavenderpick
