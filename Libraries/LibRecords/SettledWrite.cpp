#include "lavenderpick/Records/SettledWrite.h"

#include "lavenderpick/Base/Error.h"

namespace Lavenderpick {

SettledWrite::SettledWrite(std::vector<Write> writes, int maximumWrites)
    : m_writes(std::move(writes))
    , m_writesLeft(maximumWrites)
{ }

void SettledWrite::onWritten(const TransactionResult &result)
{
    --m_writesLeft;
    if (result.applied) {
        m_outcome.versions = result.versions;
        finish(WriteState::Applied, result.versions.front());
    } else if (result.conflictIndex == 0 && isOwn(result.conflictRow)) {
        finish(WriteState::Applied, result.conflictRow->version);
    } else {
        m_outcome.conflictIndex = result.conflictIndex;
        finish(WriteState::Conflict, 0, result.conflictRow);
    }
}

void SettledWrite::onWriteRefused()
{
    finish(m_answerLost ? WriteState::Unknown : WriteState::NotWritten);
}

void SettledWrite::onWriteAnswerLost()
{
    --m_writesLeft;
    m_answerLost = true;
    m_step = Step::Read;
}

void SettledWrite::onRead(const std::optional<Row> &row)
{
    const RowVersion version = row ? row->version : 0;
    if (isOwn(row)) {
        finish(WriteState::Applied, version);
    } else if (version != m_writes.front().expectedVersion) {
        finish(WriteState::Conflict, 0, row);
    } else if (m_writesLeft > 0) {
        // The lost write may still arrive. Whichever of the two comes first wins, and the other
        // fails on the row's version.
        m_step = Step::Write;
    } else {
        finish(WriteState::Unknown);
    }
}

void SettledWrite::onReadFailed()
{
    finish(WriteState::Unknown);
}

void SettledWrite::giveUp()
{
    if (m_step != Step::Finished)
        finish(m_answerLost ? WriteState::Unknown : WriteState::NotWritten);
}

void SettledWrite::finish(WriteState state, RowVersion version, const std::optional<Row> &found)
{
    m_outcome.state = state;
    m_outcome.version = version;
    m_outcome.found = found;
    m_step = Step::Finished;
}

bool SettledWrite::isOwn(const std::optional<Row> &row) const
{
    return row && m_writes.front().value && row->value == *m_writes.front().value;
}

namespace {

void performWrite(Table &table, SettledWrite &write)
{
    try {
        write.onWritten(table.transact(write.writes()));
    } catch (const Error &error) {
        if (error.kind() == ErrorKind::StoreUnavailable)
            write.onWriteRefused();
        else
            write.onWriteAnswerLost();
    }
}

void performRead(Table &table, SettledWrite &write)
{
    try {
        write.onRead(table.read(write.row()));
    } catch (const Error &) {
        write.onReadFailed();
    }
}

} // namespace

WriteOutcome settle(Table &table, SettledWrite write, const Clock &clock, TimePoint deadline)
{
    while (write.step() != SettledWrite::Step::Finished) {
        if (clock.now() >= deadline)
            write.giveUp();
        else if (write.step() == SettledWrite::Step::Write)
            performWrite(table, write);
        else
            performRead(table, write);
    }
    return write.outcome();
}

} // namespace Lavenderpick
