#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Protocol/AttemptMessages.h"
#include "lavenderpick/Protocol/CallMessages.h"
#include "lavenderpick/Protocol/Datagrams.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

const LoadReport exampleReport {
    .upstream = "assistant-07",
    .documentVersion = 29'000,
    .sequence = 77,
    .incarnation = 3,
    .models = { "draft" },
    .kvTokensInUse = 120'000,
    .kvCapacity = 400'000,
    .running = 31,
    .waiting = 4,
    .prefillBacklog = 88'000,
    .stepMicroseconds = 25'000,
    .ageMilliseconds = 900,
};

} // namespace

// Guards against a field that one end writes and the other doesn't read.
BOOST_AUTO_TEST_CASE(messages_survive_json)
{
    const AttemptRequest attempt { .requestId = "r",
                                   .attemptId = "a",
                                   .customer = "c",
                                   .model = "m",
                                   .priority = "counter",
                                   .prompt = "p",
                                   .maximumTokens = 5,
                                   .deadlineMilliseconds = 100,
                                   .resumeText = "t",
                                   .resumeOffset = 1,
                                   .reservationId = "v",
                                   .handles = { "h1", "h2" } };
    BOOST_TEST((AttemptRequest::parse(attempt.toJson()) == attempt));
    const CallRequest call { .requestId = "r",
                             .token = "t",
                             .customer = "c",
                             .key = "k",
                             .digest = "d",
                             .expectedVersion = 4,
                             .service = "s",
                             .method = "POST",
                             .path = "/p",
                             .body = "b",
                             .deadlineMilliseconds = 9,
                             .repeatable = true };
    BOOST_TEST((CallRequest::parse(call.toJson()) == call));
    const CallAnswer answer { .ran = Ran::Unknown, .status = 200, .body = "b", .state = "started" };
    BOOST_TEST((CallAnswer::parse(answer.toJson()) == answer));
}

// Guards against a negative or missing number reaching the core.
BOOST_AUTO_TEST_CASE(wrong_fields_are_refused)
{
    nlohmann::json json = AttemptRequest { .maximumTokens = 1 }.toJson();
    json["max_tokens"] = -1;
    BOOST_CHECK_THROW(AttemptRequest::parse(json), Error);
    json.erase("max_tokens");
    BOOST_CHECK_THROW(AttemptRequest::parse(json), Error);
    BOOST_CHECK_THROW(AttemptRequest::parse(nlohmann::json::array()), Error);
}

// Guards against datagrams from strangers, and against reports too large for 2 KB/s a node.
BOOST_AUTO_TEST_CASE(datagrams_are_tagged_and_small)
{
    const std::string bytes = encodeDatagram(exampleReport, "key");
    BOOST_TEST((std::get<LoadReport>(decodeDatagram(bytes, "key")) == exampleReport));
    BOOST_TEST(bytes.size() < 128);
    BOOST_CHECK_THROW(decodeDatagram(bytes, "other"), Error);
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        std::string altered = bytes;
        altered[index] = static_cast<char>(altered[index] ^ 1);
        BOOST_CHECK_THROW(decodeDatagram(altered, "key"), Error);
    }
    const Gossip gossip { .entry = "entry-1",
                          .address = "10.0.0.1:7000",
                          .usage = { { "council", 0.5 } } };
    BOOST_TEST((std::get<Gossip>(decodeDatagram(encodeDatagram(gossip, "key"), "key")) == gossip));
    const Subscribe subscribe { .entry = "entry-1",
                                .address = "10.0.0.1:7000",
                                .documentVersion = 5 };
    BOOST_TEST((std::get<Subscribe>(decodeDatagram(encodeDatagram(subscribe, "key"), "key"))
                == subscribe));
}
