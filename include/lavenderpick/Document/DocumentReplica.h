#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Document/Document.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace Lavenderpick {

/// Which part of the document a process keeps.
enum class DocumentView {
    Whole,
    WithoutKeys, ///< Without `customers` and `operators`; what agents keep.
};

/// Where a document or change came from.
enum class DocumentSource {
    Store,
    Peer,
};

enum class OfferResult {
    Applied,  ///< The replica moved forward.
    NotNewer, ///< The offer held nothing after the present version.
    Gap,      ///< Changes in between are missing; ask for them, or for the whole document.
};

/// The document in force in one process. It only moves forward, one change after the other or to a
/// whole later document. Safe for concurrent use.
class DocumentReplica
{
public:
    explicit DocumentReplica(const Clock &clock, DocumentView view = DocumentView::Whole);

    /// The document in force; never null. It stays valid when the replica moves on.
    std::shared_ptr<const Document> current() const;
    std::int64_t version() const;

    /// Whether this process may serve: it has a document of the store, or the highest that its
    /// peers could show after they were all asked.
    bool isReady() const;

    /// Says that all peers that could be reached were asked.
    void markPeersAsked();

    OfferResult offerChanges(const std::vector<DocumentChange> &changes, DocumentSource source);
    OfferResult offerDocument(const Document &document, DocumentSource source);

    /// Offers a body of `GET /internal/document`. Throws `Error` of kind InvalidMessage.
    OfferResult offerMessage(const nlohmann::json &message, DocumentSource source);

    /// The body of `GET /internal/document?since=N`: `{version, changes}` or
    /// `{version, digest, sections}`. With `WithoutKeys` it suits agents. Throws `Error` of kind
    /// NotFound when this replica lacks what is asked for.
    nlohmann::json toMessage(std::int64_t since, DocumentView view) const;

    /// Says that the store's head had this version when it was read at `readAt`.
    void confirmHead(std::int64_t headVersion, TimePoint readAt);

    /// Says that a peer's version was confirmed by the store that long ago.
    void confirmByPeer(std::int64_t peerVersion, Duration age);

    /// Time since the store last confirmed the document in force; nothing before the first time.
    std::optional<Duration> confirmationAge() const;

private:
    void accept(std::shared_ptr<const Document> document, DocumentSource source);
    void remember(const DocumentChange &change);
    void settleConfirmation();
    static DocumentChange visible(const DocumentChange &change, DocumentView view);

    struct RecentChange
    {
        DocumentChange change;
        std::size_t bytes;
    };

    const Clock &m_clock;
    const DocumentView m_view;
    std::mutex m_offerMutex; ///< Held by one offer at a time, before `m_mutex`.
    mutable std::mutex
            m_mutex; ///< Guards what follows; held for short, since requests wait for it.
    std::shared_ptr<const Document> m_current;
    std::deque<RecentChange> m_recent; ///< Changes up to the present version, without gaps.
    std::size_t m_recentBytes { 0 };
    bool m_hasStoreDocument { false };
    bool m_peersAsked { false };
    std::int64_t m_headVersion { 0 };      ///< The latest head that the store showed.
    std::optional<TimePoint> m_headReadAt; ///< When it showed that.
    std::optional<TimePoint> m_confirmedAt;
};

} // namespace Lavenderpick
