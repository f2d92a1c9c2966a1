#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Settings/YamlDocument.h"

#include <boost/test/unit_test.hpp>

using namespace Lavenderpick;

// Guards against a quoted number that turns into a number, and values that change when shown.
BOOST_AUTO_TEST_CASE(yaml_keeps_types_and_lines)
{
    const auto document = YamlDocument::fromText("enna:\n"
                                                 "  weight: 2\n"
                                                 "  share: 0.5\n"
                                                 "  version: \"1\"\n"
                                                 "  open: true\n"
                                                 "  note:\n"
                                                 "  keys:\n"
                                                 "    - salt: a\n",
                                                 "x");
    const nlohmann::json expected { { "enna",
                                      { { "weight", 2 },
                                        { "share", 0.5 },
                                        { "version", "1" },
                                        { "open", true },
                                        { "note", nullptr },
                                        { "keys", { { { "salt", "a" } } } } } } };
    BOOST_TEST(document.value() == expected);
    BOOST_TEST(document.line("enna.version") == 4);
    BOOST_TEST(document.line("enna.keys[0].salt") == 8);
    BOOST_TEST(document.line("enna.keys[0].hash") == 8);
    BOOST_TEST(document.line("enna.absent") == 1);
    BOOST_TEST(YamlDocument::fromText(toYaml(expected), "x").value() == expected);
}

// Guards against a doubled key that silently wins, and against aliases that fill the memory.
BOOST_AUTO_TEST_CASE(doubled_keys_and_alias_bombs_are_refused)
{
    BOOST_CHECK_THROW(YamlDocument::fromText("a: 1\na: 2\n", "x"), Error);
    std::string bomb = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int level = 1; level < 9; ++level) {
        const std::string alias = "*a" + std::to_string(level - 1);
        const std::string name = "a" + std::to_string(level);
        bomb += name + ": &" + name + " [";
        for (int copy = 0; copy < 10; ++copy)
            bomb += (copy == 0 ? "" : ", ") + alias;
        bomb += "]\n";
    }
    BOOST_CHECK_THROW(YamlDocument::fromText(bomb, "x"), Error);
}
