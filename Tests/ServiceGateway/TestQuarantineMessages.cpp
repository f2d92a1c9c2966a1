#include "Services/Gateway/QuarantineMessages.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Lavenderpick;

BOOST_AUTO_TEST_SUITE(QuarantineMessagesTests)

BOOST_AUTO_TEST_CASE(newsIsDecodedAsItWasEncoded)
{
    const QuarantineNews news {
        .broken = { { .upstream = "u", .promptParts = { "a", "b" } } },
        .sound = { { .part = "a", .sentAgo = Milliseconds(40) } },
        .held = { { .parts = { "b" },
                    .left = Seconds(100),
                    .firstCrashAgo = Seconds(20),
                    .timesHeld = 2 } },
    };
    BOOST_CHECK(decodeQuarantineNews(encodeQuarantineNews(news)) == news);
    BOOST_CHECK(decodeQuarantineNews(encodeQuarantineNews({})).isEmpty());
}

BOOST_AUTO_TEST_CASE(malformedNewsIsRejected)
{
    for (const char *text : { "[]", R"({"broken":[["u"]]})", R"({"sound":[[1,2]]})",
                              R"({"held":[[["a"],"soon",1,1]]})" })
        BOOST_CHECK_THROW(decodeQuarantineNews(nlohmann::json::parse(text)),
                          nlohmann::json::exception);
}

BOOST_AUTO_TEST_SUITE_END()
