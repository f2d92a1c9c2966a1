#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Forward/StoreResult.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Lavenderpick {

/// Bounds of one listing. 4,800 rows of the largest size, 64 KiB, take 320 pages of the store and
/// 400 MiB in base64.
struct TableListingLimits
{
    int pages { 1'000 };
    std::size_t bytes { 536'870'912 }; ///< Keys and values as received.
    Duration time { Seconds(30) };

    bool operator==(const TableListingLimits &) const = default;
};

/// A listing of a table of the store, which returns its rows in pages by ascending key.
///
/// The store's responses drive the listing, so each page must continue behind the page before, and
/// the listing as a whole is bounded.
class TableListing
{
public:
    explicit TableListing(TimePoint startedAt, const TableListingLimits &limits = {});

    /// The lowest key of the next page; empty for the first page.
    std::string nextKey() const;

    /// Checks the next page, which has arrived completely. Turns it into a failure if it can't be
    /// used. Otherwise removes a row that the page before had, and sets the revision to that of the
    /// first page, since rows of that page may change while later ones are read.
    void addPage(StoreResult &page, TimePoint now);

private:
    /// Whether only the last row itself is a valid start of the next page.
    bool isLastKeyLongest() const;
    void removeRepeatedRow(std::vector<StoreRow> &rows) const;
    bool continues(const std::vector<StoreRow> &rows) const;
    bool exceedsLimits(TimePoint now) const;

    TimePoint m_startedAt;
    TableListingLimits m_limits;
    int m_pages { 0 };
    std::size_t m_bytes { 0 };
    std::int64_t m_revision { 0 };
    std::string m_lastKey;
};

} // namespace Lavenderpick
