#include "lavenderpick/Base/Random.h"
#include "lavenderpick/Upstream/ReservationLedger.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const TimePoint start { Seconds(1'000) };

ReservationRequest reservation(const std::string &id, std::int64_t tokens,
                               const std::string &owner = "entry-1/1")
{
    return { .reservationId = id, .owner = owner, .tokens = tokens, .ttlMilliseconds = 30'000 };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReservationLedgerTests)

// Guards against memory that stays reserved when the entry that reserved it is gone.
BOOST_AUTO_TEST_CASE(expired_reservation_frees_memory_and_handles)
{
    ReservationLedger ledger(1'000);
    BOOST_TEST((ledger.reserve(reservation("r", 800), start) == LedgerResult::Granted));
    BOOST_TEST((ledger.charge("segment", 700, "r") == LedgerResult::Granted));
    ledger.chargeHandle("segment", "kv-1");
    BOOST_TEST(ledger.used() == 800);

    ledger.sweep(start + Seconds(29));
    BOOST_TEST(ledger.used() == 800);
    BOOST_TEST(
            (ledger.reserve(reservation("r", 800), start + Seconds(29)) == LedgerResult::Granted));
    ledger.sweep(start + Seconds(58));
    BOOST_TEST(ledger.used() == 800);

    ledger.sweep(start + Seconds(59));
    BOOST_TEST(ledger.used() == 0);
    BOOST_TEST(ledger.takeOrphanedHandles() == std::vector<std::string> { "kv-1" },
               boost::test_tools::per_element());
}

// Guards against an attempt whose memory counts as free because its reservation expired first, and
// against a segment's handle that arrives after the reservation and would never be released.
BOOST_AUTO_TEST_CASE(running_work_outlives_its_reservation)
{
    ReservationLedger ledger(1'000);
    ledger.reserve(reservation("r", 900), start);
    ledger.charge("attempt", 300, "r");
    ledger.charge("segment", 200, "r");
    ledger.sweep(start + Seconds(31));
    BOOST_TEST(ledger.used() == 500);
    ledger.chargeHandle("segment", "kv-late");
    ledger.discharge("attempt");
    BOOST_TEST(ledger.used() == 0);
    BOOST_TEST(ledger.takeOrphanedHandles().size() == 1);
}

// Guards against a restarted entry whose former reservations block the engine until they expire,
// and against its paused former process taking memory again.
BOOST_AUTO_TEST_CASE(new_incarnation_ends_earlier_reservations)
{
    ReservationLedger ledger(1'000);
    ledger.reserve(reservation("old", 900, "entry-1/1"), start);
    BOOST_TEST(
            (ledger.reserve(reservation("new", 900, "entry-1/2"), start) == LedgerResult::Granted));
    BOOST_TEST(ledger.used() == 900);
    BOOST_TEST((ledger.reserve(reservation("old", 50, "entry-1/1"), start)
                == LedgerResult::StaleOwner));
}

// Guards against two prompts that each hold a part of the same engines and wait for the other: a
// refusal leaves nothing behind, and ascending order lets one of them win.
BOOST_AUTO_TEST_CASE(two_long_prompts_over_the_same_engines)
{
    ReservationLedger engines[2] { ReservationLedger(1'000), ReservationLedger(1'000) };
    const auto reserveBoth = [&](const std::string &id, const std::string &owner) {
        for (int index = 0; index < 2; ++index) {
            if (engines[index].reserve(reservation(id, 700, owner), start) == LedgerResult::Granted)
                continue;
            for (ReservationLedger &engine : engines)
                engine.release(id);
            return false;
        }
        return true;
    };
    BOOST_TEST(reserveBoth("a", "entry-1/1"));
    BOOST_TEST(!reserveBoth("b", "entry-2/1"));
    engines[0].release("a");
    engines[1].release("a");
    BOOST_TEST(reserveBoth("b", "entry-2/1"));
    BOOST_TEST(engines[0].used() == 700);
}

// Guards against a leak or an overcommitment after any sequence of events.
BOOST_AUTO_TEST_CASE(random_events_never_leak_or_overcommit)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SeededRandom random(seed);
        ReservationLedger ledger(1'000);
        TimePoint now = start;
        for (int step = 0; step < 200; ++step) {
            const std::string id = "r" + std::to_string(random.below(4));
            const std::string charge = "c" + std::to_string(random.below(6));
            const auto tokens = static_cast<std::int64_t>(random.below(600));
            switch (random.below(6)) {
            case 0:
                ledger.reserve(reservation(id, tokens, "e/" + std::to_string(random.below(3))),
                               now);
                break;
            case 1:
                ledger.discharge(charge);
                ledger.charge(charge, tokens, random.below(2) == 0 ? "" : id);
                break;
            case 2:
                ledger.discharge(charge);
                break;
            case 3:
                ledger.chargeHandle(charge, "kv" + std::to_string(step));
                break;
            case 4:
                ledger.release(id);
                break;
            default:
                now += Seconds(10);
                ledger.sweep(now);
            }
            BOOST_REQUIRE_MESSAGE(ledger.available() >= 0, "seed " << seed << " step " << step);
        }
        for (int charge = 0; charge < 6; ++charge)
            ledger.discharge("c" + std::to_string(charge));
        ledger.sweep(now + Seconds(60));
        BOOST_REQUIRE_MESSAGE(ledger.used() == 0, "seed " << seed);
        BOOST_REQUIRE(ledger.claimedHandles().empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
