#include "Services/Operator/RequestStory.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace Lavenderpick;

namespace {

// Two gateways; a collector put a prefix before some lines, and the last line is cut.
const std::string firstLog =
        R"({"time":100.0,"process":"g1","component":"gateway","message":"configuration in force","version":7}
noise without an object
12.5 g1 {"time":103.0,"process":"g1","component":"exchange","message":"sent","request_id":"r1","upstream":"u1","helpers":["u2"],"tokens":900}
{"time":103.1,"process":"g1","component":"exchange","message":"sent","request_id":"r2","upstream":"u3","tokens":5}
{"time":104.0,"process":"g1","component":"exchange","message":"response cut","request_id":"r1","upstream":"u1","cause":"closed"}
{"time":120.0,"process":"g1","component":"gateway","message":"stopping"}
{"time":121.0,"pro)";

const std::string secondLog =
        R"({"time":90.0,"process":"g2","component":"gateway","message":"upstream changed","upstream":"u1","state":"ready"}
{"time":102.0,"process":"g2","component":"exchange","message":"sent","request_id":"r3","upstream":"u9","helpers":["u2"],"tokens":300000}
{"time":102.5,"process":"g2","component":"exchange","message":"sent","request_id":"r4","upstream":"u2","tokens":20}
{"time":103.9,"process":"g2","component":"gateway","message":"upstream changed","upstream":"u1","state":"gone"}
{"time":103.9,"process":"g2","component":"gateway","message":"store lost"}
)";

RequestStory read(const std::string &id)
{
    RequestStory story(id);
    for (const std::string &log : { secondLog, firstLog }) {
        std::istringstream stream(log);
        story.readRequest(stream);
    }
    for (const std::string &log : { secondLog, firstLog }) {
        std::istringstream stream(log);
        story.readSurroundings(stream);
    }
    return story;
}

std::vector<std::string> messages(const RequestStory &story)
{
    std::vector<std::string> result;
    const nlohmann::json json = story.toJson();
    for (const auto &line : json["lines"])
        result.push_back(line["process"].get<std::string>() + " "
                         + line["message"].get<std::string>());
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestStoryTests)

BOOST_AUTO_TEST_CASE(linesOfAllProcessesComeInOrderOfTime)
{
    const std::vector<std::string> expected { "g1 configuration in force", "g1 sent",
                                              "g2 upstream changed", "g1 response cut" };
    BOOST_TEST(messages(read("r1")) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(otherWorkOfItsUpstreamsIsSummed)
{
    const auto work = read("r1").toJson()["other_work"];
    BOOST_CHECK(!work.contains("u1"));
    BOOST_CHECK_EQUAL(work["u2"]["requests"], 2);
    BOOST_CHECK_EQUAL(work["u2"]["largest_prompt"], 300'000);
    BOOST_CHECK_EQUAL(work["u2"]["largest_request"], "r3");
}

BOOST_AUTO_TEST_CASE(timesCountFromItsFirstLine)
{
    const std::string text = read("r1").toText();
    BOOST_CHECK_NE(text.find("  -3000.0 ms  g1  configuration in force  version=7"),
                   std::string::npos);
    BOOST_CHECK_NE(text.find("  +1000.0 ms  g1  response cut  cause=closed"), std::string::npos);
    BOOST_CHECK_NE(text.find("u2 got 2 other requests, the largest of 300000 tokens (r3)"),
                   std::string::npos);
    BOOST_CHECK_NE(text.find("lines of the logs could not be read"), std::string::npos);
}

BOOST_AUTO_TEST_CASE(anUnknownRequestHasNoStory)
{
    BOOST_CHECK(read("r5").isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
