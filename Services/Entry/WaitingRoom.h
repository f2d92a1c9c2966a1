#pragma once

#include "Services/Entry/AgentDirectory.h"
#include "Services/Entry/CompletionRelay.h"
#include "Services/Entry/EntryContext.h"
#include "lavenderpick/Limits/FairQueue.h"

#include <condition_variable>
#include <mutex>
#include <set>

namespace Lavenderpick {

/// Where admitted requests wait for an upstream with free memory, in the order of `FairQueue`.
/// Safe for concurrent use; each waiting request blocks its thread.
class WaitingRoom
{
public:
    WaitingRoom(const EntryContext &context, AgentDirectory &directory);

    /// Waits until an upstream can take the order. Throws `ProblemError` when the queue sheds the
    /// order, its deadline passes, its receiver leaves, or no upstream is left.
    SelectedUpstream wait(const CompletionOrder &order, double cost, CompletionReceiver &receiver);

    /// Lets the next requests try again; call it every few milliseconds.
    void pump();

    std::size_t size() const;

private:
    enum class Turn {
        Granted,
        Shed,
        Expired,
    };

    Turn waitForTurn(const QueuedRequest &request, const CompletionOrder &order,
                     CompletionReceiver &receiver);
    QueuedRequest describe(const CompletionOrder &order, double cost);

    EntryContext m_context;
    AgentDirectory &m_directory;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    FairQueue m_queue;
    std::set<std::uint64_t> m_granted;
    std::set<std::uint64_t> m_shed;
    std::uint64_t m_lastId { 0 };
};

} // namespace Lavenderpick
