#include "lavenderpick/Document/DocumentReplica.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

#include <algorithm>

namespace Lavenderpick {

namespace {

// Peers are rarely more than a few polls behind; 29,000 changes a day are one in three seconds.
constexpr std::size_t maximumRecentChanges = 1'000;
// A replaced section of 6,700 customers is about 1.3 MB; whoever is behind a few of those is better
// served with the whole document.
constexpr std::size_t maximumRecentBytes = 4 * 1024 * 1024;

const std::vector<std::string> &sectionsWithKeys()
{
    static const std::vector<std::string> names { SectionName::customers, SectionName::operators };
    return names;
}

bool holdsKeys(const std::string &section)
{
    return std::find(sectionsWithKeys().begin(), sectionsWithKeys().end(), section)
            != sectionsWithKeys().end();
}

} // namespace

DocumentReplica::DocumentReplica(const Clock &clock, DocumentView view)
    : m_clock(clock)
    , m_view(view)
    , m_current(std::make_shared<const Document>())
{ }

std::shared_ptr<const Document> DocumentReplica::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

std::int64_t DocumentReplica::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_current->version();
}

bool DocumentReplica::isReady() const
{
    const std::lock_guard lock(m_mutex);
    return m_current->version() > 0 && (m_hasStoreDocument || m_peersAsked);
}

void DocumentReplica::markPeersAsked()
{
    const std::lock_guard lock(m_mutex);
    m_peersAsked = true;
}

DocumentChange DocumentReplica::visible(const DocumentChange &change, DocumentView view)
{
    DocumentChange result = change;
    if (view == DocumentView::WithoutKeys && holdsKeys(change.section))
        result.entries.clear();
    return result;
}

// Copying a section of thousands of entries takes milliseconds, so it happens outside `m_mutex`.
OfferResult DocumentReplica::offerChanges(const std::vector<DocumentChange> &changes,
                                          DocumentSource source)
{
    const std::lock_guard offerLock(m_offerMutex);
    const std::shared_ptr<const Document> present = current();
    std::vector<DocumentChange> next;
    bool gap = false;
    for (const DocumentChange &change : changes) {
        const std::int64_t reached = present->version() + static_cast<std::int64_t>(next.size());
        if (change.version <= reached)
            continue;
        gap = change.version != reached + 1;
        if (gap)
            break;
        next.push_back(visible(change, m_view));
    }
    if (!next.empty()) {
        auto document = std::make_shared<const Document>(present->applyAll(next));
        const std::lock_guard lock(m_mutex);
        for (const DocumentChange &change : next)
            remember(change);
        accept(std::move(document), source);
    }
    if (gap)
        return OfferResult::Gap;
    return next.empty() ? OfferResult::NotNewer : OfferResult::Applied;
}

OfferResult DocumentReplica::offerDocument(const Document &document, DocumentSource source)
{
    const std::lock_guard offerLock(m_offerMutex);
    if (document.version() <= version())
        return OfferResult::NotNewer;
    auto next = std::make_shared<const Document>(
            m_view == DocumentView::WithoutKeys ? document.withoutSections(sectionsWithKeys())
                                                : document);
    const std::lock_guard lock(m_mutex);
    m_recent.clear();
    m_recentBytes = 0;
    accept(std::move(next), source);
    return OfferResult::Applied;
}

OfferResult DocumentReplica::offerMessage(const nlohmann::json &message, DocumentSource source)
{
    if (message.is_object() && message.contains("sections"))
        return offerDocument(Document::parse(message), source);
    std::vector<DocumentChange> changes;
    for (const nlohmann::json &change : requireArray(message, "changes"))
        changes.push_back(DocumentChange::parse(change));
    return offerChanges(changes, source);
}

nlohmann::json DocumentReplica::toMessage(std::int64_t since, DocumentView view) const
{
    if (m_view == DocumentView::WithoutKeys && view == DocumentView::Whole)
        throw Error(ErrorKind::NotFound, "This process keeps a part of the document only",
                    "Ask an entry.");
    std::unique_lock lock(m_mutex);
    const std::shared_ptr<const Document> document = m_current;
    const bool reachesBack = since >= document->version()
            || (!m_recent.empty() && m_recent.front().change.version <= since + 1);
    if (!reachesBack) {
        lock.unlock();
        return (view == DocumentView::WithoutKeys ? document->withoutSections(sectionsWithKeys())
                                                  : *document)
                .toJson();
    }
    nlohmann::json changes = nlohmann::json::array();
    for (const RecentChange &recent : m_recent) {
        if (recent.change.version > since)
            changes.push_back(visible(recent.change, view).toJson());
    }
    return { { "version", document->version() }, { "changes", std::move(changes) } };
}

void DocumentReplica::confirmHead(std::int64_t headVersion, TimePoint readAt)
{
    const std::lock_guard lock(m_mutex);
    // Reads of the head may return out of order; a later version is always the later state.
    if (headVersion < m_headVersion)
        return;
    m_headVersion = headVersion;
    m_headReadAt = std::max(m_headReadAt.value_or(readAt), readAt);
    if (headVersion > 0 && headVersion == m_current->version())
        m_hasStoreDocument = true;
    settleConfirmation();
}

void DocumentReplica::confirmByPeer(std::int64_t peerVersion, Duration age)
{
    const std::lock_guard lock(m_mutex);
    // A later version is a later state: holding one at least as high as the head was at that time
    // means that nothing accepted until then is missing here.
    if (peerVersion > m_current->version() || peerVersion == 0)
        return;
    const TimePoint confirmedAt = m_clock.now() - age;
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
}

std::optional<Duration> DocumentReplica::confirmationAge() const
{
    const std::lock_guard lock(m_mutex);
    return m_confirmedAt ? std::optional(m_clock.now() - *m_confirmedAt) : std::nullopt;
}

void DocumentReplica::accept(std::shared_ptr<const Document> document, DocumentSource source)
{
    m_current = std::move(document);
    m_hasStoreDocument = m_hasStoreDocument || source == DocumentSource::Store;
    settleConfirmation();
}

void DocumentReplica::remember(const DocumentChange &change)
{
    const std::size_t bytes = change.toJson().dump().size();
    m_recent.push_back({ change, bytes });
    m_recentBytes += bytes;
    while (m_recent.size() > maximumRecentChanges || m_recentBytes > maximumRecentBytes) {
        m_recentBytes -= m_recent.front().bytes;
        m_recent.pop_front();
    }
}

void DocumentReplica::settleConfirmation()
{
    if (!m_headReadAt || m_current->version() < m_headVersion)
        return;
    m_confirmedAt = std::max(m_confirmedAt.value_or(*m_headReadAt), *m_headReadAt);
}

} // namespace Lavenderpick
