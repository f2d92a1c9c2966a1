#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// A row's version rises with every write and is never used again, also after a delete.
/// Version 0 stands for an absent row.
using RowVersion = std::int64_t;

struct RowKey
{
    std::string table;
    std::string key;

    auto operator<=>(const RowKey &) const = default;
};

struct Row
{
    std::string key;
    RowVersion version { 0 };
    nlohmann::json value {};

    bool operator==(const Row &) const = default;
};

/// One conditional write; without a value the row is deleted.
struct Write
{
    RowKey row;
    RowVersion expectedVersion { 0 };
    std::optional<nlohmann::json> value {};

    bool operator==(const Write &) const = default;
};

/// The result of a transaction: applied with the new versions, or the first condition that failed.
struct TransactionResult
{
    bool applied { false };
    std::vector<RowVersion> versions {}; ///< One for each write when applied.
    std::size_t conflictIndex { 0 };
    std::optional<Row>
            conflictRow {}; ///< The present row at `conflictIndex`; empty when it is absent.

    bool operator==(const TransactionResult &) const = default;
};

/// The platform's transactional table service. Safe for concurrent use.
///
/// Every call throws `Error` of kind StoreUnavailable when nothing happened; writes throw kind
/// StoreOutcomeUnknown when the answer was lost and the write may have taken effect.
class Table
{
public:
    virtual ~Table() = default;

    virtual std::optional<Row> read(const RowKey &row) = 0;

    /// Rows of `table` whose key starts with `prefix`, in key order after `after`, at most `limit`.
    /// With `keysOnly` the values are null.
    virtual std::vector<Row> list(const std::string &table, const std::string &prefix,
                                  const std::string &after, std::size_t limit, bool keysOnly) = 0;

    /// Applies all writes or none.
    virtual TransactionResult transact(const std::vector<Write> &writes) = 0;
};

} // namespace Lavenderpick
