#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Units.h"
#include "lavenderpick/Settings/SettingsReader.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

namespace {

std::string problemsOf(const SettingsReader &reader)
{
    try {
        reader.finish();
    } catch (const Error &error) {
        BOOST_TEST((error.kind() == ErrorKind::InvalidSettings));
        return error.what();
    }
    return {};
}

} // namespace

// Guards against a reader that stops at the first problem, so that operators correct a file in many
// rounds.
BOOST_AUTO_TEST_CASE(every_problem_is_reported_with_its_line)
{
    const auto reader = SettingsReader::fromText("port: many\n"
                                                 "timeout: 250\n"
                                                 "body: 16 MB\n"
                                                 "log:\n"
                                                 "  level: loud\n"
                                                 "  colour: red\n"
                                                 "share: 7\n",
                                                 "entry.yaml");
    const SettingsMap root = reader.root();
    root.integer("port", { 1, 65'535 });
    root.duration("timeout", { Milliseconds(1), Seconds(60) });
    root.bytes("body", { 1 });
    root.number("share", { 0.0, 1.0 });
    root.map("log").choice("level", { "info", "debug" });
    root.map("store").text("address");
    const std::string problems = problemsOf(reader);
    for (const char *expected :
         { "entry.yaml:1: 'port' must be a whole number", "entry.yaml:2: 'timeout' must be",
           "entry.yaml:3: 'body' must be", "entry.yaml:5: 'log.level' can't be 'loud'",
           "entry.yaml:6: 'log.colour' is unknown", "entry.yaml:7: 'share' is out of range",
           "'store.address' is missing" })
        BOOST_TEST(problems.find(expected) != std::string::npos, expected << " in " << problems);
}

// Guards against values that change on their way from the file.
BOOST_AUTO_TEST_CASE(values_of_every_type_are_read)
{
    const auto reader = SettingsReader::fromText("name: enna-1\n"
                                                 "port: 23000\n"
                                                 "lease: 30 s\n"
                                                 "body: 16 MiB\n"
                                                 "secure: true\n"
                                                 "share: 0.25\n"
                                                 "peers: [a, b]\n"
                                                 "links:\n  - to: x\n  - to: y\n"
                                                 "zones:\n  north: { weight: 2 }\n",
                                                 "x");
    const SettingsMap root = reader.root();
    BOOST_TEST(root.text("name") == "enna-1");
    BOOST_TEST(root.integer("port", { 1, 65'535 }) == 23'000);
    BOOST_TEST((root.duration("lease", {}) == Seconds(30)));
    BOOST_TEST(root.bytes("body", {}) == 16 * 1024 * 1024);
    BOOST_TEST(root.flag("secure"));
    BOOST_TEST(root.number("share", { 0.0, 1.0 }) == 0.25);
    BOOST_TEST(root.texts("peers") == std::vector<std::string>({ "a", "b" }),
               boost::test_tools::per_element());
    BOOST_REQUIRE(root.maps("links").size() == 2);
    BOOST_TEST(root.maps("links")[0].text("to") == "x");
    BOOST_TEST(root.maps("links")[1].text("to") == "y");
    const auto zones = root.namedMaps("zones");
    BOOST_REQUIRE(zones.size() == 1);
    BOOST_TEST(zones[0].first == "north");
    BOOST_TEST(zones[0].second.integer("weight", {}) == 2);
    BOOST_TEST(root.integer("absent", { 1, 9 }, 4) == 4);
    BOOST_TEST(problemsOf(reader) == "");
}

// Guards against a missing reference or a doubled key that goes unnoticed.
BOOST_AUTO_TEST_CASE(owners_add_problems_and_doubled_keys_are_found)
{
    const auto reader = SettingsReader::fromText("model: a\nmodel: b\n", "x.yaml");
    reader.root().text("model");
    reader.root().addProblem("model", "names no model", "Add the model.");
    const std::string problems = problemsOf(reader);
    BOOST_TEST(problems.find("x.yaml:1: 'model' names no model. Add the model.")
               != std::string::npos);
    BOOST_TEST(problems.find("x.yaml:2: 'model' stands twice") != std::string::npos);
}

// Guards against an exception of the YAML library that escapes without file and line.
BOOST_AUTO_TEST_CASE(broken_files_are_invalid_settings)
{
    const auto isInvalid = [](const Error &error) {
        return error.kind() == ErrorKind::InvalidSettings;
    };
    BOOST_CHECK_EXCEPTION(SettingsReader::fromText("a: [1", "x"), Error, isInvalid);
    BOOST_CHECK_EXCEPTION(SettingsReader::fromFile("/nonexistent.yaml"), Error, isInvalid);
    BOOST_TEST(problemsOf(SettingsReader::fromText("- a", "x")).find("must be a map")
               != std::string::npos);
}

// Guards against units that overflow or are taken as another unit.
BOOST_AUTO_TEST_CASE(units_are_strict)
{
    BOOST_TEST((parseDuration("250 ms") == Milliseconds(250)));
    BOOST_TEST((parseDuration("2min") == Seconds(120)));
    for (const char *text : { "250", "3 sec", "-3 s", "1.5 s", "", "s", "99999999999999999 d" })
        BOOST_TEST(!parseDuration(text).has_value(), text);
    BOOST_TEST((parseBytes("64 KiB") == 65'536));
    BOOST_TEST(!parseBytes("64 KB").has_value());
    BOOST_TEST(!parseBytes("9999999999999 GiB").has_value());
    BOOST_TEST(formatDuration(Milliseconds(1500)) == "1500 ms");
    BOOST_TEST(formatDuration(Seconds(120)) == "2 min");
    BOOST_TEST(formatBytes(16 << 20) == "16 MiB");
}
