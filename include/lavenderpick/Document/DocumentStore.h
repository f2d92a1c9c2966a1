#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Document/Document.h"
#include "lavenderpick/Platform/ObjectStore.h"
#include "lavenderpick/Platform/Table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

class DocumentReplica;

/// An edit of one section.
struct DocumentEdit
{
    std::string section;
    std::map<std::string, nlohmann::json> entries {}; ///< Null removes the entry.
    std::int64_t baseVersion { 0 };                   ///< The version that the editor started from.

    /// Set for plans: the base is the version of this entry instead of the section's.
    std::optional<std::string> baseEntry {};
    std::string editor {};
};

struct EditResult
{
    bool applied { false };
    std::int64_t version { 0 };        ///< Applied: of the document with this edit.
    std::int64_t currentVersion { 0 }; ///< Conflict: the version to start again from.
    Document document {};              ///< The document as the store last showed it.
};

/// The document in the platform's store; steps D1 to D5 and D7 of the design.
///
/// Every call throws `Error` of kind StoreUnavailable when the store can't be read. Not safe for
/// concurrent use; each thread has its own.
class DocumentStore
{
public:
    using Sleep = std::function<void(Duration)>;

    DocumentStore(Table &table, ObjectStore &objects, Random &random, const Clock &clock,
                  Sleep sleep = {});

    /// The version of the head; 0 before the first edit.
    std::int64_t headVersion();

    /// All changes after `version`; nothing when the log no longer reaches back that far.
    std::optional<std::vector<DocumentChange>> changesSince(std::int64_t version);

    /// The newest document: the newest snapshot that is whole, and the log after it. Throws `Error`
    /// of kind InvalidDocument when no snapshot is whole and the log has lost its beginning.
    Document load();

    /// The newest document, starting from one that is already there.
    Document catchUp(Document document);

    /// D5: reads the head and brings the replica up to it.
    void refresh(DocumentReplica &replica);

    /// Makes the edit, or finds that its base is no longer current. Throws `Error` of kind
    /// InvalidDocument that lists every problem of the edited document, and StoreOutcomeUnknown
    /// when the store did not show within the retries whether the edit took effect.
    EditResult apply(const DocumentEdit &edit);

    /// D7: writes the snapshot of this version, and removes old snapshots and changes.
    void writeSnapshot(const Document &document);

private:
    struct Head
    {
        RowVersion rowVersion { 0 };
        std::int64_t version { 0 };
    };

    Head readHead();
    std::optional<Document> readSnapshot(const std::string &name);
    bool commit(const Head &head, const DocumentChange &change);
    void finishEdit(const Document &document);
    void pauseBeforeRetry(int attempt);
    void removeOldSnapshots();
    void removeOldChanges(std::int64_t version);

    Table &m_table;
    ObjectStore &m_objects;
    Random &m_random;
    const Clock &m_clock;
    Sleep m_sleep;
};

} // namespace Lavenderpick
