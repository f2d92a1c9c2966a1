#include "Fakes/SampleDocument.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Document/DocumentReplica.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Lavenderpick;

namespace {

DocumentChange change(std::int64_t version, const std::string &section = "customers")
{
    return { .version = version,
             .section = section,
             .entries = { { "e" + std::to_string(version % 5),
                            sampleCustomer(static_cast<double>(version)) } },
             .token = "t" };
}

std::vector<DocumentChange> changes(std::int64_t first, std::int64_t last)
{
    std::vector<DocumentChange> result;
    for (std::int64_t version = first; version <= last; ++version)
        result.push_back(change(version));
    return result;
}

Document documentAt(std::int64_t version)
{
    Document document;
    for (const DocumentChange &next : changes(1, version))
        document = document.apply(next);
    return document;
}

} // namespace

// Guards against a replica that goes back or skips a change when it is offered old, duplicate or
// gappy changes.
BOOST_AUTO_TEST_CASE(replicas_only_move_forward_without_gaps)
{
    const ManualClock clock;
    DocumentReplica replica(clock);
    BOOST_TEST((replica.offerChanges(changes(1, 3), DocumentSource::Peer) == OfferResult::Applied));
    BOOST_TEST(
            (replica.offerChanges(changes(1, 2), DocumentSource::Peer) == OfferResult::NotNewer));
    BOOST_TEST((replica.offerChanges(changes(5, 6), DocumentSource::Peer) == OfferResult::Gap));
    BOOST_TEST((replica.offerChanges({ change(4), change(4), change(6) }, DocumentSource::Peer)
                == OfferResult::Gap));
    BOOST_TEST(replica.version() == 4);
    BOOST_TEST(
            (replica.offerDocument(documentAt(2), DocumentSource::Store) == OfferResult::NotNewer));
    BOOST_TEST(
            (replica.offerDocument(documentAt(9), DocumentSource::Store) == OfferResult::Applied));
    BOOST_TEST((*replica.current() == documentAt(9)));
}

// Guards against a version that goes back while several threads offer different histories.
BOOST_AUTO_TEST_CASE(concurrent_offers_never_move_a_replica_back)
{
    const ManualClock clock;
    DocumentReplica replica(clock);
    const std::vector<DocumentChange> log = changes(1, 60);
    std::vector<std::thread> threads;
    for (std::size_t start = 0; start < 4; ++start)
        threads.emplace_back([&replica, &log, start] {
            for (std::size_t first = start; first + 3 <= log.size(); ++first)
                replica.offerChanges({ log.begin() + static_cast<std::ptrdiff_t>(first),
                                       log.begin() + static_cast<std::ptrdiff_t>(first + 3) },
                                     DocumentSource::Peer);
        });
    std::int64_t seen = 0;
    bool wentBack = false;
    for (int round = 0; round < 1'000; ++round) {
        const std::int64_t version = replica.current()->version();
        wentBack = wentBack || version < seen;
        seen = version;
    }
    for (std::thread &thread : threads)
        thread.join();
    BOOST_TEST(!wentBack);
    replica.offerChanges(log, DocumentSource::Peer);
    BOOST_TEST((*replica.current() == documentAt(60)));
}

// Guards against a node that serves without a document, or with the one of the first peer although
// another peer has a later one.
BOOST_AUTO_TEST_CASE(readiness_waits_for_the_store_or_all_peers)
{
    const ManualClock clock;
    DocumentReplica byPeers(clock);
    byPeers.markPeersAsked();
    BOOST_TEST(!byPeers.isReady());

    DocumentReplica asking(clock);
    asking.offerDocument(documentAt(2), DocumentSource::Peer);
    BOOST_TEST(!asking.isReady());
    asking.offerDocument(documentAt(3), DocumentSource::Peer);
    asking.markPeersAsked();
    BOOST_TEST(asking.isReady());
    BOOST_TEST(asking.version() == 3);

    DocumentReplica byStore(clock);
    byStore.offerDocument(documentAt(1), DocumentSource::Store);
    BOOST_TEST(byStore.isReady());
}

// Guards against an age that looks young although the head that was seen is not in force yet.
BOOST_AUTO_TEST_CASE(confirmation_counts_from_the_read_of_a_head_in_force)
{
    ManualClock clock;
    DocumentReplica replica(clock);
    BOOST_TEST(!replica.confirmationAge().has_value());
    replica.offerDocument(documentAt(2), DocumentSource::Peer);
    replica.confirmHead(3, clock.now());
    BOOST_TEST(!replica.confirmationAge().has_value());
    clock.advance(Seconds(5));
    replica.offerChanges({ change(3) }, DocumentSource::Peer);
    BOOST_TEST((replica.confirmationAge() == Seconds(5)));
    replica.confirmHead(2, clock.now()); // A read that was overtaken.
    BOOST_TEST((replica.confirmationAge() == Seconds(5)));
    replica.confirmByPeer(4, Seconds(1));
    BOOST_TEST((replica.confirmationAge() == Seconds(5)));
    replica.confirmByPeer(3, Seconds(1));
    BOOST_TEST((replica.confirmationAge() == Seconds(1)));
}

// Guards against key hashes that reach agents, and against a partial document that reaches entries.
BOOST_AUTO_TEST_CASE(agents_get_no_keys_and_give_no_partial_documents)
{
    const ManualClock clock;
    DocumentReplica entry(clock);
    entry.offerChanges(changes(1, 3), DocumentSource::Store);
    entry.offerChanges({ change(4, "models") }, DocumentSource::Store);
    const nlohmann::json whole = documentAt(3).withoutSections({ "customers" }).toJson();
    BOOST_TEST(whole.dump().find("hash") == std::string::npos);
    const nlohmann::json log = entry.toMessage(2, DocumentView::WithoutKeys);
    BOOST_TEST(log["changes"][0]["entries"].empty());
    BOOST_TEST(log["changes"][1]["entries"].size() == 1U);
    DocumentReplica agent(clock, DocumentView::WithoutKeys);
    BOOST_TEST(
            (agent.offerMessage(entry.toMessage(0, DocumentView::WithoutKeys), DocumentSource::Peer)
             == OfferResult::Applied));
    BOOST_TEST(agent.version() == 4);
    BOOST_TEST(agent.current()->section("customers").entries.empty());
    BOOST_TEST(agent.current()->section("models").entries.size() == 1U);
    agent.offerDocument(documentAt(6), DocumentSource::Peer);
    BOOST_TEST(agent.current()->section("customers").entries.empty());
    BOOST_CHECK_THROW(agent.toMessage(0, DocumentView::Whole), Error);
}

// Guards against a peer that is behind and gets changes with a gap instead of the whole document.
BOOST_AUTO_TEST_CASE(messages_bring_any_peer_up_to_date)
{
    const ManualClock clock;
    DocumentReplica ahead(clock);
    ahead.offerDocument(documentAt(3), DocumentSource::Store);
    ahead.offerChanges(changes(4, 6), DocumentSource::Store);
    BOOST_TEST(ahead.toMessage(1, DocumentView::Whole).contains("sections"));
    BOOST_TEST(ahead.toMessage(3, DocumentView::Whole)["changes"].size() == 3U);
    BOOST_TEST(ahead.toMessage(9, DocumentView::Whole)["changes"].empty());
    for (const std::int64_t version : { 0, 2, 4, 5 }) {
        DocumentReplica behind(clock);
        behind.offerChanges(changes(1, version), DocumentSource::Peer);
        behind.offerMessage(ahead.toMessage(version, DocumentView::Whole), DocumentSource::Peer);
        BOOST_TEST((*behind.current() == *ahead.current()));
    }
    BOOST_CHECK_THROW(ahead.offerMessage({ { "version", 9 } }, DocumentSource::Peer), Error);
    BOOST_TEST(ahead.version() == 6);
}

// Guards against a section of the target size that is too large for a message or a change, or that
// makes each of 29,000 changes a day as slow as a whole copy of the document.
BOOST_AUTO_TEST_CASE(documents_of_the_target_size_are_replicated)
{
    constexpr int customers = 6'700;
    constexpr int changesToApply = 500;
    const ManualClock clock;
    DocumentReplica entry(clock);
    DocumentChange first { .version = 1, .section = "customers", .token = "t" };
    for (int index = 0; index < customers; ++index)
        first.entries["customer-" + std::to_string(index)] = sampleCustomer();
    entry.offerChanges({ first }, DocumentSource::Store);
    const std::string message = entry.toMessage(-1, DocumentView::Whole).dump();
    BOOST_TEST_MESSAGE("whole document: " << message.size() << " bytes");
    DocumentReplica peer(clock);
    peer.offerMessage(nlohmann::json::parse(message), DocumentSource::Peer);
    const std::vector<DocumentChange> log = changes(2, changesToApply + 1);
    const auto start = std::chrono::steady_clock::now();
    peer.offerChanges(log, DocumentSource::Peer);
    const auto took = std::chrono::steady_clock::now() - start;
    BOOST_TEST_MESSAGE("500 changes at once: " << toMilliseconds(took) << " ms");
    entry.offerChanges(log, DocumentSource::Peer);
    BOOST_TEST((*peer.current() == *entry.current()));
    // Applied one by one, each with its copy of the section, they took 362 ms; at once, 5 ms.
    BOOST_TEST(toMilliseconds(took) < 200);
}
