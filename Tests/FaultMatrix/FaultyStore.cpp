#include "FaultMatrix/FaultyStore.h"

#include "lavenderpick/Base/Error.h"

namespace Lavenderpick::FaultMatrix {

FaultyTable::FaultyTable(Table &table, Injector &injector, const Guards &guards)
    : m_table(table)
    , m_injector(injector)
    , m_guards(guards)
{ }

std::optional<Row> FaultyTable::read(const RowKey &row)
{
    return m_injector.perform<std::optional<Row>>(StepKind::StoreRead,
                                                  [this, row] { return m_table.read(row); });
}

std::vector<Row> FaultyTable::list(const std::string &table, const std::string &prefix,
                                   const std::string &after, std::size_t limit, bool keysOnly)
{
    return m_injector.perform<std::vector<Row>>(StepKind::StoreRead, [=, this] {
        return m_table.list(table, prefix, after, limit, keysOnly);
    });
}

TransactionResult FaultyTable::transact(const std::vector<Write> &writes)
{
    try {
        return m_injector.perform<TransactionResult>(StepKind::StoreWrite,
                                                     [this, writes] { return apply(writes); });
    } catch (const Error &error) {
        if (m_guards.readBack || error.kind() != ErrorKind::StoreOutcomeUnknown)
            throw;
        return { .applied = true, .versions = std::vector<RowVersion>(writes.size(), 1) };
    }
}

TransactionResult FaultyTable::apply(std::vector<Write> writes)
{
    if (!m_guards.conditions) {
        for (Write &write : writes) {
            const auto present = m_table.read(write.row);
            write.expectedVersion = present ? present->version : 0;
        }
    }
    const bool underLease = writes.size() > 1 && writes.front().row.table == "holder";
    if (m_guards.leaseCommit || !underLease)
        return m_table.transact(writes);
    const RowVersion lease = writes.front().expectedVersion;
    writes.erase(writes.begin());
    TransactionResult result = m_table.transact(writes);
    result.versions.insert(result.versions.begin(), lease);
    result.conflictIndex += 1;
    return result;
}

FaultyObjects::FaultyObjects(ObjectStore &objects, Injector &injector, const Guards &guards)
    : m_objects(objects)
    , m_injector(injector)
    , m_guards(guards)
{ }

std::string FaultyObjects::stored(const std::string &name) const
{
    const std::size_t dash = name.rfind('-');
    const bool fenced = name.starts_with("job/") && dash != std::string::npos
            && dash > name.rfind('/') && name.back() != '-';
    return m_guards.fencedNames || !fenced ? name : name.substr(0, dash + 1) + "1";
}

std::optional<std::string> FaultyObjects::read(const std::string &name)
{
    return m_injector.perform<std::optional<std::string>>(
            StepKind::StoreRead, [this, name] { return m_objects.read(stored(name)); });
}

void FaultyObjects::write(const std::string &name, std::string_view bytes)
{
    const std::string copy(bytes);
    m_injector.perform<bool>(StepKind::StoreWrite, [this, name, copy] {
        m_objects.write(stored(name), copy);
        return true;
    });
}

void FaultyObjects::remove(const std::string &name)
{
    m_injector.perform<bool>(StepKind::StoreWrite, [this, name] {
        m_objects.remove(stored(name));
        return true;
    });
}

std::vector<std::string> FaultyObjects::list(const std::string &prefix)
{
    return m_injector.perform<std::vector<std::string>>(
            StepKind::StoreRead, [this, prefix] { return m_objects.list(prefix); });
}

} // namespace Lavenderpick::FaultMatrix
