#pragma once

#include "FaultMatrix/Faults.h"
#include "lavenderpick/Platform/ObjectStore.h"
#include "lavenderpick/Platform/Table.h"

namespace Lavenderpick::FaultMatrix {

/// The mechanisms under test. Turning one off, in the harness only, shows which cells depend on it.
struct Guards
{
    bool conditions { true };   ///< Off: the table ignores the expected versions.
    bool readBack { true };     ///< Off: a lost answer of a write counts as success (no C8).
    bool writerTokens { true }; ///< Off: the claim carries the message's token only.
    bool attemptGate { true };  ///< Off: an agent may start an attempt that it refused before.
    bool sendOnce { true };     ///< Off: the agent repeats a call that was not answered.
    bool cancelFirst { true };  ///< Off: a timeout is answered "not run" without cancelling (C6).
    bool leaseCommit { true };  ///< Off: a job joins its holder without a condition on the lease.
    bool fencedNames { true };  ///< Off: objects of a job carry no fence.
    bool ordered { true };      ///< Off: a replica takes whatever document it is shown (D6).
    bool offsets { true };      ///< Off: the entry relays every token event it receives.
    bool startChecks { true };  ///< Off: orders carry no fence.

    bool operator==(const Guards &) const = default;
};

/// A table whose operations are steps of an injector.
class FaultyTable final : public Table
{
public:
    FaultyTable(Table &table, Injector &injector, const Guards &guards);

    std::optional<Row> read(const RowKey &row) override;
    std::vector<Row> list(const std::string &table, const std::string &prefix,
                          const std::string &after, std::size_t limit, bool keysOnly) override;
    TransactionResult transact(const std::vector<Write> &writes) override;

private:
    TransactionResult apply(std::vector<Write> writes);

    Table &m_table;
    Injector &m_injector;
    const Guards m_guards;
};

/// An object store whose operations are steps of an injector.
class FaultyObjects final : public ObjectStore
{
public:
    FaultyObjects(ObjectStore &objects, Injector &injector, const Guards &guards);

    std::optional<std::string> read(const std::string &name) override;
    void write(const std::string &name, std::string_view bytes) override;
    void remove(const std::string &name) override;
    std::vector<std::string> list(const std::string &prefix) override;

private:
    std::string stored(const std::string &name) const;

    ObjectStore &m_objects;
    Injector &m_injector;
    const Guards m_guards;
};

} // namespace Lavenderpick::FaultMatrix
