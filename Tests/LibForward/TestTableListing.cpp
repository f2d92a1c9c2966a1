#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Forward/StorePosition.h"
#include "lavenderpick/Forward/TableListing.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace Lavenderpick;

namespace {

using Kind = StoreResult::Kind;

StoreResult page(const std::vector<std::string> &keys, bool hasMore, StorePosition position = {})
{
    StoreResult result { .kind = Kind::Done, .revision = position.toNumber(), .hasMore = hasMore };
    for (const std::string &key : keys)
        result.rows.push_back({ .key = key, .encodedValue = "e30=" });
    return result;
}

std::vector<std::string> keysOf(const StoreResult &result)
{
    std::vector<std::string> keys;
    for (const StoreRow &row : result.rows)
        keys.push_back(row.key);
    return keys;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TableListingTests)

BOOST_AUTO_TEST_CASE(continuesBehindTheLastKeyOfEachPage)
{
    TableListing listing(TimePoint {});
    BOOST_CHECK_EQUAL(listing.nextKey(), "");
    StoreResult first = page({ "a", "b%20" }, true, { .era = 1, .revision = 7 });
    listing.addPage(first, TimePoint {});
    BOOST_CHECK(first.kind == Kind::Done);
    BOOST_CHECK(listing.nextKey() == std::string("b%20\0", 5));
    StoreResult last = page({ "c" }, false, { .era = 1, .revision = 9 });
    listing.addPage(last, TimePoint {});
    BOOST_CHECK(last.kind == Kind::Done);
    BOOST_CHECK_EQUAL(last.revision, (StorePosition { 1, 7 }.toNumber()));
}

// Guards against listings without an end and against rows that are read twice or skipped: each of
// these second pages, behind a page that ends with "m", must end the listing.
BOOST_AUTO_TEST_CASE(pagesThatDoNotContinueTheListingFail)
{
    const std::vector<std::pair<std::vector<std::string>, bool>> unusable {
        { { "l", "m" }, true },  // The same page again.
        { { "l", "m" }, false }, // The same, as the last one.
        { { "m" }, false },      // Only the last row again.
        { { "a", "z" }, true },  // Begins before the last row.
        { { "o", "n" }, true },  // Not in order.
        { { "n", "n" }, true },  // A row twice.
        { {}, true },            // No rows, but not the last page.
    };
    for (const auto &[keys, hasMore] : unusable) {
        TableListing listing(TimePoint {});
        StoreResult first = page({ "l", "m" }, true);
        listing.addPage(first, TimePoint {});
        StoreResult second = page(keys, hasMore);
        listing.addPage(second, TimePoint {});
        BOOST_CHECK(second.kind == Kind::OutcomeUnknown);
        BOOST_CHECK(!second.detail.empty());
        BOOST_CHECK(second.rows.empty());
    }
    TableListing listing(TimePoint {});
    StoreResult empty = page({}, false);
    listing.addPage(empty, TimePoint {});
    BOOST_CHECK(empty.kind == Kind::Done);
}

// Guards against order by signed characters, in which text beyond ASCII would sort first.
BOOST_AUTO_TEST_CASE(keysAreOrderedByBytes)
{
    TableListing listing(TimePoint {});
    StoreResult result = page({ std::string(1, '\0'), " ", "%", "a", "\x7f", "\u00e9" }, false);
    listing.addPage(result, TimePoint {});
    BOOST_CHECK(result.kind == Kind::Done);
}

// Guards against a key that the store rejects, since it is longer than a key may be.
BOOST_AUTO_TEST_CASE(continuesAtTheLongestKeyItself)
{
    const std::string longest(200, 'k');
    TableListing listing(TimePoint {});
    StoreResult first = page({ "a", longest }, true);
    listing.addPage(first, TimePoint {});
    BOOST_CHECK_EQUAL(listing.nextKey(), longest);
    StoreResult second = page({ longest, "l" }, true);
    listing.addPage(second, TimePoint {});
    BOOST_CHECK(keysOf(second) == std::vector<std::string> { "l" });
    BOOST_CHECK(listing.nextKey() == std::string("l\0", 2));

    TableListing stuck(TimePoint {});
    first = page({ longest }, true);
    stuck.addPage(first, TimePoint {});
    StoreResult repeated = page({ longest }, true);
    stuck.addPage(repeated, TimePoint {});
    BOOST_CHECK(repeated.kind == Kind::OutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(startsAgainInAnotherEra)
{
    TableListing listing(TimePoint {});
    StoreResult first = page({ "a" }, true, { .era = 1, .revision = 7 });
    listing.addPage(first, TimePoint {});
    StoreResult second = page({ "b" }, false, { .era = 2, .revision = 5 });
    listing.addPage(second, TimePoint {});
    BOOST_CHECK(second.kind == Kind::EraChanged);
    BOOST_CHECK(second.rows.empty());
}

// Guards against a table that grows faster than it is read.
BOOST_AUTO_TEST_CASE(endsAtEachLimit)
{
    const TableListingLimits unlimited { .pages = 1'000'000,
                                         .bytes = 1'000'000'000,
                                         .time = Seconds(1'000'000) };
    TableListingLimits pages = unlimited;
    pages.pages = 50;
    TableListingLimits bytes = unlimited;
    bytes.bytes = 50 * 8; // Four bytes each of the key and the value.
    TableListingLimits time = unlimited;
    time.time = Seconds(50);
    for (const TableListingLimits &limits : { pages, bytes, time }) {
        TableListing listing(TimePoint {}, limits);
        int read = 0;
        StoreResult result { .kind = Kind::Done };
        while (result.kind == Kind::Done && read < 1'000) {
            ++read;
            result = page({ std::to_string(1'000 + read) }, true);
            listing.addPage(result, TimePoint { Seconds(read) });
        }
        BOOST_CHECK_EQUAL(read, 50);
    }
    // What a table of the largest deployment takes is within the usual limits.
    TableListing largest(TimePoint {});
    for (int read = 1; read <= 320; ++read) {
        StoreResult result = page({ std::to_string(1'000 + read) }, read < 320);
        result.rows.front().encodedValue = std::string(1'398'101, 'A'); // 1 MiB in base64.
        largest.addPage(result, TimePoint { Milliseconds(20 * read) });
        BOOST_REQUIRE(result.kind == Kind::Done);
    }
}

// Rows of any text, written and removed between pages of any size: a row that stays is listed once,
// and each listing ends.
BOOST_AUTO_TEST_CASE(listsEveryRowThatStaysOnce)
{
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
        SeededRandom random(seed);
        const auto below = [&](int limit) { return static_cast<int>(random.unit() * limit); };
        const auto makeKey = [&] {
            std::string key(below(10) == 0 ? 200 : below(4), 'k');
            for (std::size_t index = key.size() > 4 ? key.size() - 2 : 0; index < key.size();
                 ++index)
                key[index] =
                        std::string_view("%20 k&+\xc3\xa9")[static_cast<std::size_t>(below(9))];
            return key;
        };
        std::set<std::string> rows;
        for (int count = below(40); count > 0; --count)
            rows.insert(makeKey());
        std::set<std::string> staying = rows;
        std::map<std::string, int> listed;
        TableListing listing(TimePoint {});
        StoreResult result { .kind = Kind::Done, .hasMore = true };
        int pages = 0;
        while (result.hasMore) {
            BOOST_REQUIRE_LT(++pages, 500);
            const std::size_t size = static_cast<std::size_t>(1 + below(5));
            std::vector<std::string> keys;
            auto row = rows.lower_bound(listing.nextKey());
            // A page of one row at the longest key has only the row that the page before had.
            const std::size_t rowsOfPage = listing.nextKey().size() == 200 ? size + 1 : size;
            for (; row != rows.end() && keys.size() < rowsOfPage; ++row)
                keys.push_back(*row);
            result = page(keys, row != rows.end());
            listing.addPage(result, TimePoint {});
            BOOST_REQUIRE(result.kind == Kind::Done);
            for (const std::string &key : keysOf(result))
                ++listed[key];
            if (!rows.empty() && below(2) == 0) {
                const auto removed = std::next(rows.begin(), below(static_cast<int>(rows.size())));
                staying.erase(*removed);
                rows.erase(removed);
            }
            rows.insert(makeKey());
        }
        for (const std::string &key : staying)
            BOOST_CHECK_EQUAL(listed[key], 1);
        for (const auto &[key, count] : listed)
            BOOST_CHECK_LE(count, 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
