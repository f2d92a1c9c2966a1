#pragma once

#include "Fakes/FakeFaults.h"
#include "lavenderpick/Platform/Table.h"

#include <map>

namespace Lavenderpick {

/// A table service in memory.
class FakeTable final : public Table
{
public:
    FakeFaults faults {};

    std::optional<Row> read(const RowKey &row) override
    {
        faults.onRead();
        const std::lock_guard lock(m_mutex);
        return find(row);
    }

    std::vector<Row> list(const std::string &table, const std::string &prefix,
                          const std::string &after, std::size_t limit, bool keysOnly) override
    {
        faults.onRead();
        const std::lock_guard lock(m_mutex);
        std::vector<Row> rows;
        for (auto row = m_rows.lower_bound({ table, prefix });
             row != m_rows.end() && row->first.table == table && row->first.key.starts_with(prefix)
             && rows.size() < limit;
             ++row) {
            if (row->first.key > after)
                rows.push_back({ row->first.key, row->second.version,
                                 keysOnly ? nlohmann::json() : row->second.value });
        }
        return rows;
    }

    TransactionResult transact(const std::vector<Write> &writes) override
    {
        faults.onWrite();
        TransactionResult result = apply(writes);
        faults.onWritten();
        return result;
    }

private:
    std::optional<Row> find(const RowKey &row) const
    {
        const auto position = m_rows.find(row);
        return position == m_rows.end() ? std::nullopt : std::optional(position->second);
    }

    TransactionResult apply(const std::vector<Write> &writes)
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t index = 0; index < writes.size(); ++index) {
            const auto present = find(writes[index].row);
            if ((present ? present->version : 0) != writes[index].expectedVersion)
                return { .conflictIndex = index, .conflictRow = present };
        }
        TransactionResult result { .applied = true };
        for (const Write &write : writes) {
            result.versions.push_back(++m_lastVersion);
            if (write.value)
                m_rows[write.row] = { write.row.key, m_lastVersion, *write.value };
            else
                m_rows.erase(write.row);
        }
        return result;
    }

    std::mutex m_mutex;
    std::map<RowKey, Row> m_rows;
    RowVersion m_lastVersion { 0 }; ///< Shared by all rows, so that no version repeats.
};

} // namespace Lavenderpick
