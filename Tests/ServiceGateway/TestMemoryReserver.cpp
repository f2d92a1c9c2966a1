#include "GatewayFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace Lavenderpick;

namespace {

using Peer = std::shared_ptr<ScriptedConnection>;

/// Engines that record the calls for reservations and answer none of them.
struct ReservationFixture : GatewayFixture
{
    struct Engines
    {
        std::vector<std::string> calls;
        std::vector<Peer> unanswered;
        bool refuseFirst { false };
    };
    /// Shared with the scripts, which run until the base class is destroyed.
    std::shared_ptr<Engines> engines { std::make_shared<Engines>() };
    std::vector<std::string> &calls { engines->calls };
    std::vector<Peer> &unanswered { engines->unanswered };

    void addEngines(int count)
    {
        for (int number = 1; number <= count; ++number)
            addUpstream(
                    "e" + std::to_string(number),
                    [engines = engines](const ReceivedRequest &request, const Peer &peer) {
                        const std::string &target = request.head.target;
                        if (!target.starts_with("/re"))
                            return;
                        engines->calls.push_back(target);
                        if (!target.starts_with("/reserve"))
                            answer(peer, "200 OK");
                        else if (engines->refuseFirst && target.ends_with("-0-0"))
                            answer(peer, "409 Conflict");
                        else
                            engines->unanswered.push_back(peer);
                    },
                    "engines");
    }

    /// Engines that accept all reservations and hang on requests.
    struct HangingEngines
    {
        bool hang { true };
        bool beginBeforeHanging { false };
        bool prefilling { false }; ///< Reservations are used, though no event comes yet.
        int requests { 0 };
        TimePoint latestEnd {}; ///< Until which an accepted reservation holds.
        std::multiset<std::string> released;
    };

    void setTimeouts(Duration timeout)
    {
        ServingConfigurationParts parts = makeConfiguration();
        for (Route &route : parts.routes) {
            route.timeout = timeout;
            // Callers wait four times as long for the first event.
            route.objective = Seconds(6);
        }
        state.configuration = std::make_shared<ServingConfiguration>(parts);
    }

    std::shared_ptr<HangingEngines> addHangingEngines(int count)
    {
        const auto hanging = std::make_shared<HangingEngines>();
        for (int number = 1; number <= count; ++number)
            addUpstream(
                    "e" + std::to_string(number),
                    [this, hanging](const ReceivedRequest &request, const Peer &peer) {
                        const std::string &target = request.head.target;
                        if (target.starts_with("/reserve")) {
                            const auto hold = Milliseconds(
                                    std::stoll(request.body.substr(request.body.find(' '))));
                            hanging->latestEnd = std::max(hanging->latestEnd, clock.now() + hold);
                            answer(peer, "200 OK");
                        } else if (target == "/used") {
                            peer->write(makeResponse("", hanging->prefilling ? "r1-0-0" : ""));
                        } else if (target.starts_with("/release")) {
                            hanging->released.insert(target);
                            answer(peer, "200 OK");
                        } else {
                            ++hanging->requests;
                            if (!hanging->hang || hanging->beginBeforeHanging)
                                peer->write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p\r\n"
                                            "Transfer-Encoding: chunked\r\n\r\n"
                                            "f\r\nid: 1\ndata: x\n\n\r\n");
                            if (!hanging->hang)
                                peer->write(std::string(lastChunk));
                        }
                    },
                    "engines");
        return hanging;
    }

    const TimePoint start { clock.now() };

    static void answer(const Peer &peer, const std::string &status)
    {
        peer->write("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
    }

    std::ptrdiff_t count(const std::string &prefix) const
    {
        return std::count_if(calls.begin(), calls.end(),
                             [&](const std::string &call) { return call.starts_with(prefix); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UnusedReservationTests, ReservationFixture)

// Guards against memory that stays reserved for 3 s because the engine got the release first.
BOOST_AUTO_TEST_CASE(reservationAcceptedAfterTheCallerLeftIsReleased)
{
    addEngines(2);
    send("/stream/", "r1", "Tokens: 12000\r\n");
    BOOST_REQUIRE(runUntil([&] { return unanswered.size() == 1; }));
    disconnectLastCaller();
    BOOST_REQUIRE(runUntil([&] { return count("/release/r1-0-0") == 1; }));
    answer(unanswered.front(), "200 OK");
    BOOST_CHECK(runUntil([&] { return count("/release/r1-0-0") == 2; }));
}

// Guards against keeping one engine's memory until a slow engine answers, when a third has refused.
BOOST_AUTO_TEST_CASE(oneRefusedReservationEndsTheOthersAtOnce)
{
    engines->refuseFirst = true;
    addEngines(3);
    const auto view = sendAndWait("/stream/", "r1", "Tokens: 25000\r\n");
    BOOST_CHECK_EQUAL(view->status, 503);
    BOOST_CHECK(runUntil([&] { return count("/release/r1-0-1") == 1; }));
    BOOST_REQUIRE(!unanswered.empty());
    answer(unanswered.front(), "200 OK");
    BOOST_CHECK(runUntil([&] { return count("/release/r1-0-1") == 2; }));
}

// Guards against reserving memory beside an engine that has left, until the slowest one answers.
BOOST_AUTO_TEST_CASE(reservationsEndWhenTheirUpstreamLeaves)
{
    addEngines(2);
    const auto view = send("/stream/", "r1", "Tokens: 12000\r\n");
    BOOST_REQUIRE(runUntil([&] { return unanswered.size() == 1; }));
    for (const UpstreamRecord *record : std::vector(state.upstreams.ready("engines")))
        state.upstreams.recordLeaving(record->id, record->startedMs, clock.now());
    advance(Milliseconds(50));
    BOOST_CHECK(runUntil([&] { return count("/release/r1-0-0") == 1; }));
    BOOST_CHECK(runUntil([&] { return view->isDone(); }));
    BOOST_CHECK_EQUAL(view->status, 503);
}

// Guards against a late copy of a request's response that counts as an engine's consent to reserve
// memory, so that the prompt is sent without it.
BOOST_AUTO_TEST_CASE(copyOfARequestsResponseIsNoAnswerToAReservation)
{
    int plainRequests = 0;
    const auto script = [&plainRequests](const ReceivedRequest &request, const Peer &peer) {
        if (request.head.target.starts_with("/reserve")) {
            peer->write(makeResponse("r0", ""));
            answer(peer, "409 Conflict");
        } else if (request.head.target.starts_with("/release")) {
            answer(peer, "200 OK");
        } else {
            ++plainRequests;
            peer->write(makeResponse(request.header("Request-Id"), "id: 1\ndata: x\n\n"));
        }
    };
    for (const char *id : { "e1", "e2" })
        addUpstream(id, script, "engines");
    const auto view = sendAndWait("/stream/", "r1", "Tokens: 12000\r\n");
    BOOST_CHECK_EQUAL(view->status, 503);
    BOOST_CHECK_EQUAL(plainRequests, 0);
}

// Guards against memory that stays reserved until the deadline of a request that its engine never
// begins, although other engines could run it.
BOOST_AUTO_TEST_CASE(unusedMemoryIsReleasedAndTheRequestGoesToAnotherEngine)
{
    setTimeouts(Seconds(20));
    const std::shared_ptr<HangingEngines> hanging = addHangingEngines(3);
    const auto view = send("/stream/", "r1", "Tokens: 12000\r\n");
    BOOST_REQUIRE(runUntil([&] { return hanging->requests == 1; }));
    while (clock.now() - start < Milliseconds(7'900))
        advance(Milliseconds(100));
    BOOST_CHECK_EQUAL(hanging->requests, 1);
    // No renewal may keep the memory for longer than the limit, even if its release is lost.
    BOOST_CHECK(hanging->latestEnd <= start + Seconds(9));
    hanging->hang = false;
    advance(Milliseconds(100));
    BOOST_REQUIRE(runUntil([&] { return view->isDone(); }));
    BOOST_CHECK_EQUAL(hanging->released.count("/release/r1-0-0"), 1);
    BOOST_CHECK_EQUAL(view->status, 200);
    BOOST_CHECK_EQUAL(hanging->requests, 2);
}

// Guards against a request that keeps its caller waiting although its memory is gone.
BOOST_AUTO_TEST_CASE(requestWithUnusedMemoryThatMayNotRepeatFails)
{
    setTimeouts(Seconds(20));
    const std::shared_ptr<HangingEngines> hanging = addHangingEngines(3);
    const auto view = send("/fixed-stream/", "r1", "Tokens: 12000\r\n");
    BOOST_REQUIRE(runUntil([&] { return hanging->requests == 1; }));
    while (clock.now() - start < Seconds(8))
        advance(Milliseconds(100));
    BOOST_REQUIRE(runUntil([&] { return view->isDone(); }));
    BOOST_CHECK_EQUAL(view->status, 502);
    BOOST_CHECK_EQUAL(hanging->requests, 1);
}

// Guards against an end of requests whose engines prefill a long prompt before the first event.
BOOST_AUTO_TEST_CASE(memoryThatAnEngineSaysIsUsedStaysReserved)
{
    setTimeouts(Seconds(60));
    const std::shared_ptr<HangingEngines> hanging = addHangingEngines(3);
    hanging->prefilling = true;
    const auto view = send("/stream/", "r1", "Tokens: 12000\r\n");
    BOOST_REQUIRE(runUntil([&] { return hanging->requests == 1; }));
    while (clock.now() - start < Seconds(20))
        advance(Milliseconds(100));
    BOOST_CHECK(!view->isDone());
    BOOST_CHECK(hanging->released.empty());
    BOOST_CHECK(hanging->latestEnd >= clock.now());
}

// Guards against an end of streams that run longer than memory may stay unused.
BOOST_AUTO_TEST_CASE(usedMemoryStaysReserved)
{
    setTimeouts(Seconds(60));
    const std::shared_ptr<HangingEngines> hanging = addHangingEngines(3);
    hanging->beginBeforeHanging = true;
    const auto view = send("/stream/", "r1", "Tokens: 12000\r\n");
    BOOST_REQUIRE(runUntil([&] { return !view->body.empty(); }));
    while (clock.now() - start < Seconds(30))
        advance(Milliseconds(500));
    BOOST_CHECK(!view->isDone());
    BOOST_CHECK(hanging->released.empty());
    BOOST_CHECK(hanging->latestEnd >= clock.now());
}

BOOST_AUTO_TEST_SUITE_END()
