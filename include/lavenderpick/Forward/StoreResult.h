#pragma once

#include "lavenderpick/Base/Base64.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A row of the platform's store.
struct StoreRow
{
    std::string table;
    std::string part;
    std::string key;
    std::string encodedValue;    ///< In base64; a large value is decoded in pieces.
    std::int64_t revision { 0 }; ///< As a number of `StorePosition`.
    bool removed { false };

    /// Empty if another writer stored invalid base64. The decoders of rows reject an empty value.
    std::string value() const { return fromBase64(encodedValue); }

    bool operator==(const StoreRow &) const = default;
};

/// The result of a call to the store.
struct StoreResult
{
    enum class Kind {
        Done,
        Conflict,       ///< A precondition did not hold.
        HistoryGone,    ///< The store no longer keeps the requested changes.
        EraChanged,     ///< The store came back from an older copy during a listing.
        Refused,        ///< The call had no effect.
        OutcomeUnknown, ///< No valid response; a write may have been applied.
    };

    Kind kind { Kind::OutcomeUnknown };
    std::string detail;
    std::vector<StoreRow> rows;
    std::int64_t revision { 0 }; ///< Of the newest change, as a number of `StorePosition`.
    bool hasMore { false };
    /// The connection had served calls before and then failed. It may have broken while the store
    /// worked all the time.
    bool onUsedConnection { false };

    bool operator==(const StoreResult &) const = default;
};

} // namespace Lavenderpick
