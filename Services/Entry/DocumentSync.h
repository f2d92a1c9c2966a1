#pragma once

#include "Services/Entry/EntryContext.h"
#include "Services/Entry/PeerClient.h"
#include "lavenderpick/Document/DocumentStore.h"

#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Keeps the replica at the newest version, from the store and from peers (D5). Safe for concurrent
/// use; each call may block for the time of a few messages.
class DocumentSync
{
public:
    DocumentSync(const EntryContext &context, Table &table, ObjectStore &objects,
                 PeerClient &peers);

    /// Reads the store; asks `peers` too while the replica is not ready. Does not throw.
    void poll(const std::vector<std::string> &peers);

    /// Fetches from an entry that has shown a later version, unless a fetch from it is under way.
    /// Does not throw.
    void fetchFrom(const std::string &address);

    /// Whether a process that shows this version makes a poll or fetch worth it now. Says so at
    /// most once a second, since every message of a busy entry shows a version.
    bool isCallForUpdate(std::int64_t version);

private:
    bool refreshFromStore();
    void askPeers(const std::vector<std::string> &peers);
    void fetch(const std::string &address, std::int64_t since);

    EntryContext m_context;
    PeerClient &m_peers;
    std::mutex m_storeMutex; ///< The store's client is not safe for concurrent use.
    DocumentStore m_store;
    std::mutex m_mutex;
    std::set<std::string> m_fetching;
    TimePoint m_lastUpdate {};
};

} // namespace Lavenderpick
