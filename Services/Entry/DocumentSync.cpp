#include "Services/Entry/DocumentSync.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"

namespace Lavenderpick {

namespace {

constexpr Seconds fetchTimeout { 2 };
constexpr Seconds shortestUpdatePeriod { 1 };
constexpr int okStatus = 200;

} // namespace

DocumentSync::DocumentSync(const EntryContext &context, Table &table, ObjectStore &objects,
                           PeerClient &peers)
    : m_context(context)
    , m_peers(peers)
    , m_store(table, objects, context.random, context.clock)
{ }

void DocumentSync::poll(const std::vector<std::string> &peers)
{
    const bool refreshed = refreshFromStore();
    m_context.metrics.increment("lavenderpick_document_polls_total",
                                refreshed ? "result=\"ok\"" : "result=\"failed\"");
    if (!refreshed && !m_context.replica.isReady())
        askPeers(peers);
}

void DocumentSync::fetchFrom(const std::string &address)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_fetching.insert(address).second)
            return;
    }
    try {
        fetch(address, m_context.replica.version());
    } catch (const Error &error) {
        log(LogLevel::Info, "document", error.what(), { { "peer", address } });
    }
    const std::lock_guard lock(m_mutex);
    m_fetching.erase(address);
}

bool DocumentSync::isCallForUpdate(std::int64_t version)
{
    if (version <= m_context.replica.version())
        return false;
    const TimePoint now = m_context.clock.now();
    const std::lock_guard lock(m_mutex);
    if (now - m_lastUpdate < shortestUpdatePeriod)
        return false;
    m_lastUpdate = now;
    return true;
}

bool DocumentSync::refreshFromStore()
{
    const std::lock_guard lock(m_storeMutex);
    try {
        m_store.refresh(m_context.replica);
        return true;
    } catch (const Error &error) {
        log(LogLevel::Warning, "document", error.what());
        return false;
    }
}

void DocumentSync::askPeers(const std::vector<std::string> &peers)
{
    bool anyAnswered = false;
    for (const std::string &address : peers) {
        try {
            fetch(address, m_context.replica.version());
            anyAnswered = true;
        } catch (const Error &error) {
            log(LogLevel::Info, "document", error.what(), { { "peer", address } });
        }
    }
    if (anyAnswered)
        m_context.replica.markPeersAsked();
}

void DocumentSync::fetch(const std::string &address, std::int64_t since)
{
    const HttpResponse response =
            m_peers.send(address,
                         { .method = "GET",
                           .path = "/internal/document?since=" + std::to_string(since),
                           .timeout = fetchTimeout });
    if (response.status != okStatus)
        throw Error(ErrorKind::NotFound, address + " has no document",
                    "It fetches one when the store or its peers answer.");
    const nlohmann::json message = parseJson(response.body, "document");
    if (m_context.replica.offerMessage(message, DocumentSource::Peer) != OfferResult::Gap)
        return;
    // The peer's changes do not reach back far enough; a version of -1 asks for everything.
    const HttpResponse whole = m_peers.send(
            address,
            { .method = "GET", .path = "/internal/document?since=-1", .timeout = fetchTimeout });
    if (whole.status == okStatus)
        m_context.replica.offerMessage(parseJson(whole.body, "document"), DocumentSource::Peer);
}

} // namespace Lavenderpick
