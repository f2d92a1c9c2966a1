#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Platform/Table.h"

#include <optional>
#include <vector>

namespace Lavenderpick {

/// How a conditional write ended.
enum class WriteState {
    Applied,    ///< This write took effect.
    Conflict,   ///< The row has moved on; the write will not take effect any more.
    NotWritten, ///< The store refused it; nothing happened.
    Unknown,    ///< It may have taken effect or may still do so.
};

struct WriteOutcome
{
    WriteState state { WriteState::Unknown };
    RowVersion version { 0 };            ///< Applied: the new version of the first row.
    std::vector<RowVersion> versions {}; ///< Applied: of all rows; empty if learned by reading.
    std::size_t conflictIndex { 0 };     ///< Conflict: the write whose condition failed.
    std::optional<Row> found {};         ///< Conflict: that write's present row; empty when absent.

    bool operator==(const WriteOutcome &) const = default;
};

/// One conditional transaction whose lost answers are settled by reading the first row back (C8).
///
/// The first write must carry a value that no other writer can write, such as one with a unique
/// token: the writer recognises its own write by that value. Performs no I/O: `step()` names the
/// operation to perform, and one of the `on...` functions takes its result.
class SettledWrite
{
public:
    enum class Step {
        Write,
        Read,
        Finished,
    };

    /// `maximumWrites` bounds how often the transaction is sent.
    explicit SettledWrite(std::vector<Write> writes, int maximumWrites = 3);

    Step step() const { return m_step; }
    const std::vector<Write> &writes() const { return m_writes; }
    const RowKey &row() const { return m_writes.front().row; }

    void onWritten(const TransactionResult &result);
    void onWriteRefused();
    void onWriteAnswerLost();
    void onRead(const std::optional<Row> &row);
    void onReadFailed();

    /// Ends the write when time is up; what is unsettled stays unknown.
    void giveUp();

    /// Valid once `step()` is Finished.
    const WriteOutcome &outcome() const { return m_outcome; }

private:
    void finish(WriteState state, RowVersion version = 0, const std::optional<Row> &found = {});
    bool isOwn(const std::optional<Row> &row) const;

    std::vector<Write> m_writes;
    int m_writesLeft;
    bool m_answerLost { false };
    Step m_step { Step::Write };
    WriteOutcome m_outcome {};
};

/// Performs the steps of `write` on `table` until it is settled or `deadline` has passed.
WriteOutcome settle(Table &table, SettledWrite write, const Clock &clock, TimePoint deadline);

} // namespace Lavenderpick
