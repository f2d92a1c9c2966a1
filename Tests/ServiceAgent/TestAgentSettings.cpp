#include "Services/Agent/AgentSettings.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Settings/SettingsReader.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

std::string problemsOf(const std::string &text)
{
    const SettingsReader reader = SettingsReader::fromText(text, "agent.yaml");
    AgentSettings::parse(reader.root());
    try {
        reader.finish();
    } catch (const Error &error) {
        return error.what();
    }
    return {};
}

const std::string valid = R"(name: a
listen: {host: 127.0.0.1, port: 7100, datagram_port: 7100}
region: sicily
availability_zone: enna-1
cluster: {key: a cluster key for tests}
platform: {address: "127.0.0.1:7000"}
upstream: {name: e, kind: engine, address: "127.0.0.1:7200", checks_fencing: false}
)";

} // namespace

// Guards against an operator who has to start the agent once for each wrong setting, and against an
// engine whose handling of fences was never stated.
BOOST_AUTO_TEST_CASE(settings_report_every_problem)
{
    BOOST_TEST(problemsOf(valid).empty());
    const std::string problems = problemsOf(R"(name: a
listen: {host: 127.0.0.1, port: 70000, datagram_port: 7100}
region: sicily
availability_zone: enna-1
cluster: {key: short}
platform: {address: nowhere}
upstream: {name: e, kind: engine, address: "127.0.0.1:7200"}
caps: {strems: 4}
)");
    for (const char *expected : { "listen.port", "cluster.key", "platform.address",
                                  "upstream.checks_fencing", "strems", "agent.yaml:5" })
        BOOST_TEST(problems.find(expected) != std::string::npos, expected << " in " << problems);
}
