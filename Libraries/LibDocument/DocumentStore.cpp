#include "lavenderpick/Document/DocumentStore.h"

#include "DocumentKeys.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Document/DocumentCheck.h"
#include "lavenderpick/Document/DocumentReplica.h"

#include <algorithm>
#include <thread>

namespace Lavenderpick {

namespace {

constexpr std::int64_t snapshotInterval = 500;
constexpr std::size_t keptSnapshots = 4;
// About a day of changes at the target size; serves 'document history'.
constexpr std::int64_t keptChanges = 30'000;
constexpr std::size_t changesPerRead = 200;
constexpr std::size_t changesPerRemoval = 100;
// Twice as many as are added between two snapshots, so that a backlog shrinks.
constexpr std::size_t removalsPerSnapshot = 10;

// The last pauses are about a second each; a head race is normally over after one.
constexpr int maximumAttempts = 10;
constexpr Duration firstPause = Milliseconds(20);
constexpr Duration longestPause = Seconds(1);

bool isStoreError(const Error &error)
{
    return error.kind() == ErrorKind::StoreUnavailable
            || error.kind() == ErrorKind::StoreOutcomeUnknown;
}

std::int64_t baseOf(const Document &document, const DocumentEdit &edit)
{
    if (!edit.baseEntry)
        return document.section(edit.section).version;
    const DocumentEntry *entry = document.entry(edit.section, *edit.baseEntry);
    return entry == nullptr ? 0 : entry->version;
}

} // namespace

DocumentStore::DocumentStore(Table &table, ObjectStore &objects, Random &random, const Clock &clock,
                             Sleep sleep)
    : m_table(table)
    , m_objects(objects)
    , m_random(random)
    , m_clock(clock)
    , m_sleep(sleep ? std::move(sleep)
                    : [](Duration duration) { std::this_thread::sleep_for(duration); })
{ }

DocumentStore::Head DocumentStore::readHead()
{
    const auto row = m_table.read(documentHeadKey);
    return row ? Head { row->version, requireInteger(row->value, "version", 1) } : Head {};
}

std::int64_t DocumentStore::headVersion()
{
    return readHead().version;
}

std::optional<std::vector<DocumentChange>> DocumentStore::changesSince(std::int64_t version)
{
    std::vector<DocumentChange> changes;
    std::string after = paddedVersion(version);
    while (true) {
        const auto rows = m_table.list(documentChangeTable, "", after, changesPerRead, false);
        for (const Row &row : rows) {
            DocumentChange change = DocumentChange::parse(row.value);
            const std::int64_t expected = version + static_cast<std::int64_t>(changes.size()) + 1;
            if (change.version != expected)
                return changes.empty() ? std::nullopt : std::optional(std::move(changes));
            changes.push_back(std::move(change));
        }
        if (rows.size() < changesPerRead)
            return changes;
        after = rows.back().key;
    }
}

std::optional<Document> DocumentStore::readSnapshot(const std::string &name)
{
    const auto bytes = m_objects.read(name);
    if (!bytes)
        return std::nullopt;
    try {
        return Document::parse(parseJson(*bytes, "snapshot"));
    } catch (const Error &error) {
        log(LogLevel::Warning, "document", "A snapshot is damaged; an older one is used",
            { { "object", name }, { "error", error.what() } });
        return std::nullopt;
    }
}

Document DocumentStore::load()
{
    Document document;
    try {
        std::vector<std::string> names = m_objects.list(documentSnapshotPrefix);
        std::sort(names.rbegin(), names.rend());
        for (const std::string &name : names) {
            if (auto snapshot = readSnapshot(name)) {
                document = std::move(*snapshot);
                break;
            }
        }
    } catch (const Error &error) {
        if (!isStoreError(error))
            throw;
        log(LogLevel::Warning, "document", "Snapshots can't be read; the log is used instead",
            { { "error", error.what() } });
    }
    const auto changes = changesSince(document.version());
    if (!changes)
        throw Error(ErrorKind::InvalidDocument,
                    "No whole snapshot can be read and the log starts after version "
                            + std::to_string(document.version()),
                    "Fetch the document from a running entry.");
    return document.applyAll(*changes);
}

Document DocumentStore::catchUp(Document document)
{
    const auto changes = changesSince(document.version());
    return changes ? document.applyAll(*changes) : load();
}

void DocumentStore::refresh(DocumentReplica &replica)
{
    const TimePoint readAt = m_clock.now();
    const std::int64_t head = headVersion();
    const std::int64_t version = replica.version();
    if (head > version) {
        // Far behind, a snapshot costs fewer reads than the log.
        const auto changes = version == 0 || head - version > snapshotInterval
                ? std::nullopt
                : changesSince(version);
        if (!changes || replica.offerChanges(*changes, DocumentSource::Store) == OfferResult::Gap)
            replica.offerDocument(load(), DocumentSource::Store);
    }
    replica.confirmHead(head, readAt);
}

EditResult DocumentStore::apply(const DocumentEdit &edit)
{
    Document document;
    DocumentChange change {
        .section = edit.section,
        .entries = edit.entries,
        .token = newIdentifier(m_random, "edit"),
        .editor = edit.editor,
    };
    for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
        if (attempt > 0)
            pauseBeforeRetry(attempt);
        const Head head = readHead();
        document = document.version() == 0 ? load() : catchUp(std::move(document));
        if (document.version() != head.version)
            continue; // The head moved on between the two reads.
        const std::int64_t current = baseOf(document, edit);
        if (current != edit.baseVersion)
            return { .currentVersion = current, .document = std::move(document) };
        change.version = head.version + 1;
        change.changedAt = m_clock.wallSeconds();
        Document edited = document.apply(change);
        throwProblems(checkEdit(document, edited, edit.section));
        if (commit(head, change)) {
            finishEdit(edited);
            return { .applied = true, .version = change.version, .document = std::move(edited) };
        }
    }
    throw Error(ErrorKind::StoreUnavailable,
                "Other edits won the race " + std::to_string(maximumAttempts) + " times",
                "Nothing was changed; apply the edit again.");
}

// Sends the transaction until it is certain whether it took effect. Repeating it is safe: it is
// conditional on the row version of the head, so it can take effect once only, and a delayed
// earlier copy can't follow a later one.
bool DocumentStore::commit(const Head &head, const DocumentChange &change)
{
    const std::vector<Write> writes {
        { documentHeadKey, head.rowVersion, nlohmann::json { { "version", change.version } } },
        { documentChangeKey(change.version), 0, change.toJson() },
    };
    bool uncertain = false;
    for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
        if (attempt > 0)
            pauseBeforeRetry(attempt);
        try {
            if (m_table.transact(writes).applied)
                return true;
            // Whoever moved the head wrote this change; after a lost answer it may be this edit.
            const auto row = m_table.read(documentChangeKey(change.version));
            return row && DocumentChange::parse(row->value).token == change.token;
        } catch (const Error &error) {
            if (!isStoreError(error))
                throw;
            uncertain = uncertain || error.kind() == ErrorKind::StoreOutcomeUnknown;
            if (!uncertain)
                throw;
        }
    }
    throw Error(ErrorKind::StoreOutcomeUnknown,
                "The store did not show whether the edit became version "
                        + std::to_string(change.version),
                "Look for token " + change.token + " in 'lavenderpick document history'.");
}

void DocumentStore::pauseBeforeRetry(int attempt)
{
    const Duration ceiling = std::min<Duration>(longestPause, firstPause * (1 << attempt));
    const auto jitter = static_cast<std::uint64_t>(ceiling.count() / 2);
    m_sleep(ceiling / 2 + Duration(static_cast<Duration::rep>(m_random.below(jitter))));
}

void DocumentStore::finishEdit(const Document &document)
{
    if (document.version() % snapshotInterval != 0)
        return;
    try {
        writeSnapshot(document);
    } catch (const Error &error) {
        // The edit stands; the next snapshot makes up for this one.
        log(LogLevel::Warning, "document", "The snapshot was not written",
            { { "version", document.version() }, { "error", error.what() } });
    }
}

void DocumentStore::writeSnapshot(const Document &document)
{
    m_objects.write(documentSnapshotName(document.version()), document.toJson().dump());
    removeOldSnapshots();
    removeOldChanges(document.version());
}

void DocumentStore::removeOldSnapshots()
{
    std::vector<std::string> names = m_objects.list(documentSnapshotPrefix);
    std::sort(names.rbegin(), names.rend());
    for (std::size_t index = keptSnapshots; index < names.size(); ++index)
        m_objects.remove(names[index]);
}

void DocumentStore::removeOldChanges(std::int64_t version)
{
    if (version <= keptChanges)
        return;
    const std::string firstKept = paddedVersion(version - keptChanges);
    for (std::size_t round = 0; round < removalsPerSnapshot; ++round) {
        std::vector<Write> removals;
        for (const Row &row : m_table.list(documentChangeTable, "", "", changesPerRemoval, true)) {
            if (row.key < firstKept)
                removals.push_back({ { documentChangeTable, row.key }, row.version, std::nullopt });
        }
        // A conflict means that another editor removes them at the same time.
        if (removals.empty() || !m_table.transact(removals).applied)
            return;
    }
}

} // namespace Lavenderpick
