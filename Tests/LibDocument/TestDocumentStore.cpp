#include "Fakes/FakeObjectStore.h"
#include "Fakes/FakeTable.h"
#include "Fakes/SampleDocument.h"
#include "lavenderpick/Document/DocumentReplica.h"
#include "lavenderpick/Document/DocumentStore.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Lavenderpick;

namespace {

struct StoreFixture
{
    FakeTable table {};
    FakeObjectStore objects {};
    ManualClock clock {};
    SeededRandom random { 7 };
    DocumentStore store { table, objects, random, clock, [](Duration) {} };

    StoreFixture()
    {
        store.apply({ .section = "operators",
                      .entries = { { "ops", sampleOperator({ "operators", "models" }) } } });
    }

    DocumentEdit edit(const std::string &section, const std::string &name,
                      const nlohmann::json &value)
    {
        return { .section = section,
                 .entries = { { name, value } },
                 .baseVersion = store.load().section(section).version,
                 .editor = "ops" };
    }

    /// Lets `other` be applied by a second editor right before the next write.
    void applyBeforeNextWrite(const DocumentEdit &other)
    {
        table.faults.beforeWrite = [this, other] {
            table.faults.beforeWrite = nullptr;
            SeededRandom otherRandom(8);
            DocumentStore second(table, objects, otherRandom, clock, [](Duration) {});
            second.apply(other);
        };
    }

    void applyModels(int count)
    {
        for (int index = 0; index < count; ++index)
            store.apply(edit("models", "m" + std::to_string(index % 3), sampleModel()));
    }
};

bool isKind(const Error &error, ErrorKind kind)
{
    return error.kind() == kind;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(DocumentStoreTests, StoreFixture)

// Guards against an edit that overwrites what another editor of the same section just accepted.
BOOST_AUTO_TEST_CASE(racing_edits_of_one_section_conflict)
{
    const DocumentEdit mine = edit("models", "a", sampleModel());
    applyBeforeNextWrite(edit("models", "b", sampleModel()));
    const EditResult lost = store.apply(mine);
    BOOST_TEST(!lost.applied);
    BOOST_TEST(lost.currentVersion == 2);
    DocumentEdit again = mine;
    again.baseVersion = lost.currentVersion;
    BOOST_TEST(store.apply(again).applied);
    BOOST_TEST(store.load().section("models").entries.size() == 2U);
}

// Guards against a conflict between teams that edit different sections at the same time.
BOOST_AUTO_TEST_CASE(racing_edits_of_different_sections_both_apply)
{
    const DocumentEdit mine = edit("models", "a", sampleModel());
    applyBeforeNextWrite(edit("services", "desk", sampleService(false)));
    const EditResult result = store.apply(mine);
    BOOST_TEST(result.applied);
    BOOST_TEST(result.version == 3);
    BOOST_TEST(store.load().service("desk").has_value());
}

// Guards against a reference that breaks because two edits were each checked without the other.
BOOST_AUTO_TEST_CASE(a_retried_edit_is_checked_against_the_winner)
{
    store.apply(edit("services", "desk", sampleService(false)));
    nlohmann::json customer = sampleCustomer();
    customer["roles"] = { "service:desk" };
    const DocumentEdit mine = edit("customers", "enna", customer);
    applyBeforeNextWrite(edit("services", "desk", nullptr));
    BOOST_CHECK_EXCEPTION(store.apply(mine), Error, [](const Error &error) {
        return isKind(error, ErrorKind::InvalidDocument);
    });
    BOOST_TEST(store.load().section("customers").entries.empty());
}

// Guards against an edit that is reported as a conflict with itself, or made twice, after the
// answer was lost.
BOOST_AUTO_TEST_CASE(lost_answers_are_settled_by_the_token)
{
    const DocumentEdit first = edit("models", "a", sampleModel());
    table.faults.lostAnswers = 1;
    BOOST_TEST(store.apply(first).version == 2);
    const DocumentEdit second = edit("models", "b", sampleModel());
    table.faults.lostAnswers = 3;
    table.faults.lostRequests = 2;
    BOOST_TEST(store.apply(second).version == 3);
    BOOST_TEST(store.headVersion() == 3);
    BOOST_TEST(store.changesSince(0)->size() == 3U);
}

// Guards against another editor's change that is taken for one's own after a lost request.
BOOST_AUTO_TEST_CASE(a_lost_request_and_a_lost_race_are_a_conflict)
{
    const DocumentEdit mine = edit("models", "a", sampleModel());
    const DocumentEdit other = edit("models", "b", sampleModel());
    int writes = 0;
    table.faults.beforeWrite = [&] {
        if (++writes == 1) {
            table.faults.lostRequests = 1;
        } else if (writes == 2) {
            SeededRandom otherRandom(8);
            DocumentStore(table, objects, otherRandom, clock, [](Duration) {}).apply(other);
        }
    };
    const EditResult result = store.apply(mine);
    BOOST_TEST(!result.applied);
    BOOST_TEST(result.currentVersion == 2);
}

// Guards against a definite answer where the store showed none.
BOOST_AUTO_TEST_CASE(an_outcome_that_stays_unknown_is_reported_as_such)
{
    const DocumentEdit mine = edit("models", "a", sampleModel());
    table.faults.beforeWrite = [this] { table.faults.lostRequests = 1; };
    BOOST_CHECK_EXCEPTION(store.apply(mine), Error, [](const Error &error) {
        return isKind(error, ErrorKind::StoreOutcomeUnknown);
    });
    table.faults.beforeWrite = nullptr;
    table.faults.lostRequests = 0;
    table.faults.down = true;
    BOOST_CHECK_EXCEPTION(store.apply(mine), Error, [](const Error &error) {
        return isKind(error, ErrorKind::StoreUnavailable);
    });
}

// Guards against lost updates when many editors of different sections and plans race in threads.
BOOST_AUTO_TEST_CASE(concurrent_editors_lose_nothing)
{
    std::vector<std::thread> threads;
    std::atomic<int> applied { 0 };
    for (int editor = 0; editor < 4; ++editor)
        threads.emplace_back([this, editor, &applied] {
            SeededRandom ownRandom(static_cast<std::uint64_t>(editor));
            DocumentStore own(table, objects, ownRandom, clock);
            const std::string upstream = "u" + std::to_string(editor);
            std::int64_t base = 0;
            for (int round = 0; round < 5; ++round) {
                const EditResult result =
                        own.apply({ .section = "plans",
                                    .entries = { { upstream, { { "action", "stop" } } } },
                                    .baseVersion = base,
                                    .baseEntry = upstream });
                base = result.version;
                applied += result.applied ? 1 : 0;
            }
        });
    for (std::thread &thread : threads)
        thread.join();
    BOOST_TEST(applied == 20);
    BOOST_TEST(store.headVersion() == 21);
    BOOST_TEST(store.load().section("plans").entries.size() == 4U);
}

// Guards against a new node that can't start because the newest snapshot is missing or damaged.
BOOST_AUTO_TEST_CASE(missing_and_damaged_snapshots_are_passed_over)
{
    applyModels(10);
    const Document early = store.load();
    store.writeSnapshot(early);
    applyModels(10);
    const Document expected = store.load();
    store.writeSnapshot(expected);
    BOOST_TEST((store.load() == expected));
    const std::string newest = objects.list("document/snapshot-").back();
    for (const char *damage : { "", "{", "{\"version\":21}" }) {
        objects.write(newest, damage);
        BOOST_TEST((store.load() == expected), damage);
    }
    std::string bytes = expected.toJson().dump();
    bytes.replace(bytes.find("1000000"), 7, "2000000");
    objects.write(newest, bytes);
    BOOST_TEST((store.load() == expected));
    objects.remove(newest);
    BOOST_TEST((store.load() == expected));
    objects.faults.down = true;
    BOOST_TEST((store.load() == expected));
}

// Guards against a document without its beginning when the log was shortened and no snapshot is
// whole.
BOOST_AUTO_TEST_CASE(a_log_without_its_beginning_is_not_enough)
{
    applyModels(3);
    const auto rows = table.list("document-change", "", "", 1, true);
    table.transact({ { { "document-change", rows[0].key }, rows[0].version, std::nullopt } });
    BOOST_TEST(!store.changesSince(0).has_value());
    BOOST_CHECK_EXCEPTION(store.load(), Error, [](const Error &error) {
        return isKind(error, ErrorKind::InvalidDocument);
    });
}

// Guards against snapshots that are never written, or pile up.
BOOST_AUTO_TEST_CASE(every_500th_change_writes_a_snapshot_and_old_ones_go)
{
    applyModels(499);
    BOOST_TEST(store.headVersion() == 500);
    BOOST_TEST(objects.list("document/snapshot-").size() == 1U);
    for (int round = 0; round < 6; ++round) {
        applyModels(1);
        store.writeSnapshot(store.load());
    }
    BOOST_TEST(objects.list("document/snapshot-").size() == 4U);
}

// Guards against a node that starts while the store is down and never becomes ready, or serves an
// old document after the store is back.
BOOST_AUTO_TEST_CASE(a_node_that_starts_while_the_store_is_down_catches_up)
{
    applyModels(3);
    DocumentReplica peer(clock);
    store.refresh(peer);
    applyModels(3);
    table.faults.down = true;
    DocumentReplica replica(clock);
    BOOST_CHECK_THROW(store.refresh(replica), Error);
    BOOST_TEST(!replica.isReady());
    replica.offerMessage(peer.toMessage(0, DocumentView::Whole), DocumentSource::Peer);
    replica.markPeersAsked();
    BOOST_TEST(replica.isReady());
    BOOST_TEST(!replica.confirmationAge().has_value());
    table.faults.down = false;
    store.refresh(replica);
    BOOST_TEST((*replica.current() == store.load()));
    BOOST_TEST((replica.confirmationAge() == Seconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()
