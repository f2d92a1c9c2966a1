#include "lavenderpick/Forward/TableListing.h"

#include "lavenderpick/Forward/StorePosition.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// The store rejects longer keys.
constexpr std::size_t maximumKeyBytes = 200;

StoreResult failure(std::string reason)
{
    return { .detail = std::move(reason) };
}

} // namespace

TableListing::TableListing(TimePoint startedAt, const TableListingLimits &limits)
    : m_startedAt(startedAt)
    , m_limits(limits)
{ }

std::string TableListing::nextKey() const
{
    if (m_pages == 0)
        return {};
    return isLastKeyLongest() ? m_lastKey : m_lastKey + '\0';
}

void TableListing::addPage(StoreResult &page, TimePoint now)
{
    if (m_pages == 0)
        m_revision = page.revision;
    if (StorePosition::fromNumber(page.revision).era != StorePosition::fromNumber(m_revision).era) {
        page = { .kind = StoreResult::Kind::EraChanged, .detail = "the store's era changed" };
        return;
    }
    removeRepeatedRow(page.rows);
    if (!continues(page.rows)) {
        page = failure("the rows of a page are not in ascending order of their keys");
        return;
    }
    if (page.hasMore && page.rows.empty()) {
        page = failure("a page without new rows is not the last one");
        return;
    }
    ++m_pages;
    for (const StoreRow &row : page.rows)
        m_bytes += row.key.size() + row.encodedValue.size();
    if (page.hasMore && exceedsLimits(now)) {
        page = failure("the table has more than " + std::to_string(m_pages) + " pages or "
                       + std::to_string(m_bytes) + " bytes, or was read too slowly");
        return;
    }
    page.revision = m_revision;
    if (!page.rows.empty())
        m_lastKey = page.rows.back().key;
}

bool TableListing::isLastKeyLongest() const
{
    return m_lastKey.size() >= maximumKeyBytes;
}

void TableListing::removeRepeatedRow(std::vector<StoreRow> &rows) const
{
    if (m_pages > 0 && isLastKeyLongest() && !rows.empty() && rows.front().key == m_lastKey)
        rows.erase(rows.begin());
}

bool TableListing::continues(const std::vector<StoreRow> &rows) const
{
    if (m_pages > 0 && !rows.empty() && rows.front().key <= m_lastKey)
        return false;
    return std::ranges::adjacent_find(rows, std::ranges::greater_equal {}, &StoreRow::key)
            == rows.end();
}

bool TableListing::exceedsLimits(TimePoint now) const
{
    return m_pages >= m_limits.pages || m_bytes >= m_limits.bytes
            || now - m_startedAt >= m_limits.time;
}

} // namespace Lavenderpick
