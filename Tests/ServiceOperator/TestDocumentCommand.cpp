#include "OperatorFixture.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Lavenderpick;

namespace {

const std::string modelFile = "m:\n  versions: [\"1\"]\n  maximum_prompt_tokens: 1000\n";

bool contains(const ToolRun &run, const std::string &text)
{
    return run.output.find(text) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(DocumentCommandTests, OperatorFixture)

// Guards against an empty document that anybody can fill, or that locks its first operator out.
BOOST_AUTO_TEST_CASE(the_first_edit_names_its_own_operator)
{
    write("models.yaml", modelFile);
    BOOST_TEST(apply("models", 0).exitCode == 6);
    const std::string keptKey = "\n  keys:\n    - " + makeKey("other");
    write("operators.yaml", "other:\n  sections: [operators]" + keptKey);
    BOOST_TEST(apply("operators", 0).exitCode == 6);
    write("operators.yaml", "ops:\n  sections: [operators]\n  keys:\n    - " + makeKey("ops"));
    const ToolRun first = apply("operators", 0);
    BOOST_TEST(first.exitCode == 0, first.output);
    BOOST_TEST(store.load().operatorEntry("ops").has_value());
}

// Guards against an edit by an operator whose key is wrong or lacks the section.
BOOST_AUTO_TEST_CASE(edits_need_a_key_for_the_section)
{
    bootstrap();
    write("services.yaml", "desk: { repeatable: false, paths: [/bookings], timeout: 5 s }\n");
    const ToolRun forbidden = apply("services", 0);
    BOOST_TEST(forbidden.exitCode == 6);
    BOOST_TEST(contains(forbidden, "may not change 'services'"));
    write("models.yaml", modelFile);
    write("ops.key", "ops.wrong-key-wrong-key-wrong\n");
    BOOST_TEST(apply("models", 0).exitCode == 6);
    BOOST_TEST(store.load().version() == 1);
}

// Guards against a racing edit that is overwritten, or a conflict that doesn't say where to start.
BOOST_AUTO_TEST_CASE(a_racing_edit_gets_the_version_to_start_from)
{
    bootstrap();
    write("models.yaml", modelFile);
    BOOST_TEST(apply("models", 0).exitCode == 0);
    write("models.yaml", modelFile + "n:\n  versions: [\"1\"]\n  maximum_prompt_tokens: 9\n");
    const ToolRun conflict = apply("models", 0);
    BOOST_TEST(conflict.exitCode == 4);
    BOOST_TEST(contains(conflict, "version 2 by ops: m"));
    BOOST_TEST(contains(conflict, "--base 2"));
    BOOST_TEST(store.load().section("models").entries.size() == 1U);
    BOOST_TEST(apply("models", 2).exitCode == 0);
    BOOST_TEST(store.load().section("models").entries.size() == 2U);
    const ToolRun unchanged = apply("models", 3);
    BOOST_TEST(unchanged.exitCode == 0);
    BOOST_TEST(store.load().version() == 3);
}

// Guards against editors that lose an edit although each got exit code 0.
BOOST_AUTO_TEST_CASE(concurrent_editors_of_one_section_and_of_others_lose_nothing)
{
    bootstrap();
    std::atomic<int> applied { 0 };
    std::atomic<int> conflicts { 0 };
    std::vector<std::thread> threads;
    for (int editor = 0; editor < 4; ++editor)
        threads.emplace_back([&, editor] {
            SystemRandom ownRandom;
            HttpPlatform ownPlatform(address, clock);
            DocumentStore own(ownPlatform, ownPlatform, ownRandom, clock);
            const bool onModels = editor < 2;
            const nlohmann::json value = onModels
                    ? nlohmann::json { { "versions", { "1" } }, { "maximum_prompt_tokens", 1 } }
                    : nlohmann::json { { "action", "stop" } };
            const EditResult result = own.apply(
                    { .section = onModels ? "models" : "plans",
                      .entries = { { "e" + std::to_string(editor), value } },
                      .baseEntry = onModels ? std::nullopt
                                            : std::optional("e" + std::to_string(editor)) });
            ++(result.applied ? applied : conflicts);
        });
    for (std::thread &thread : threads)
        thread.join();
    BOOST_TEST(applied == 3);
    BOOST_TEST(conflicts == 1);
    const Document document = store.load();
    BOOST_TEST(document.section("models").entries.size() == 1U);
    BOOST_TEST(document.section("plans").entries.size() == 2U);
}

// Guards against an operator who repeats an edit because its answer was lost.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_before_the_tool_returns)
{
    bootstrap();
    write("models.yaml", modelFile);
    setFaults({ { "lose_answers", 2 } });
    const ToolRun run = apply("models", 0);
    BOOST_TEST(run.exitCode == 0, run.output);
    BOOST_TEST(contains(run, "Applied as version 2"));
    BOOST_TEST(store.headVersion() == 2);
}

// Guards against a success that is reported while the store is down, and a wrong exit code.
BOOST_AUTO_TEST_CASE(an_unavailable_store_is_exit_code_5)
{
    bootstrap();
    setFaults({ { "down", true } });
    write("models.yaml", modelFile);
    BOOST_TEST(apply("models", 0).exitCode == 5);
    BOOST_TEST(tool({ "document", "show" }).exitCode == 5);
    const ToolRun json = tool({ "document", "show", "--json" });
    BOOST_TEST(nlohmann::json::parse(json.output)["error"] == "store_unavailable");
}

// Guards against problems without a line, and against a reference that only the store shows.
BOOST_AUTO_TEST_CASE(problems_come_with_file_and_line)
{
    bootstrap();
    write("customers.yaml",
          "enna:\n  weight: -1\n  budget: many\n  roles: [\"service:desk\"]\n  colour: red\n");
    const ToolRun check = tool(
            { "document", "check", "--section", "customers", "--file", path("customers.yaml") });
    BOOST_TEST(check.exitCode == 3);
    for (const char *expected :
         { "customers.yaml:2: customers.enna.weight", "customers.yaml:3: customers.enna.budget",
           "customers.yaml:4: customers.enna.roles: names 'service:desk'",
           "customers.yaml:5: customers.enna.colour: is unknown", "customers.enna.keys" })
        BOOST_TEST(contains(check, expected), expected << " in " << check.output);
    BOOST_TEST(apply("customers", 0).exitCode == 3);
    BOOST_TEST(store.load().version() == 1);
    BOOST_TEST(runTool({ "document", "check", "--section", "customers", "--file",
                         path("absent.yaml") })
                       .exitCode
               == 3);
}

// Guards against a shown section that does not apply again as it is.
BOOST_AUTO_TEST_CASE(a_shown_section_can_be_applied_again)
{
    bootstrap();
    write("models.yaml", modelFile);
    apply("models", 0);
    const ToolRun shown = tool({ "document", "show", "--section", "models" });
    BOOST_TEST(contains(shown, "--base 2"));
    write("models.yaml", shown.output);
    BOOST_TEST(contains(apply("models", 2), "already equals"));
    const ToolRun history = tool({ "document", "history", "--section", "models" });
    BOOST_TEST(contains(history, "models  ops"));
    const ToolRun all = tool({ "document", "history", "--json", "--limit", "1" });
    BOOST_TEST(nlohmann::json::parse(all.output).size() == 1U);
    BOOST_TEST(contains(tool({ "status" }), "document version 2"));
}

// Guards against wrong command lines that do something, or that crash.
BOOST_AUTO_TEST_CASE(wrong_command_lines_are_exit_code_2)
{
    for (const std::vector<std::string> &arguments : std::vector<std::vector<std::string>> {
                 { "document" },
                 { "document", "burn" },
                 { "document", "apply" },
                 { "document", "apply", "--section" },
                 { "document", "apply", "--nonsense", "x" },
                 { "document", "apply", "--section", "models", "--base", "-1", "--file", "x" },
                 { "document", "show", "surplus" },
                 { "upstream", "stop" },
                 { "upstream", "stop", "u1", "--grace", "soon" },
                 { "upstream", "move", "u1" },
                 { "status" } })
        BOOST_TEST(runTool(arguments).exitCode == 2, arguments.front() << arguments.size());
    for (const char *action : { "check", "show", "apply", "history", "hash-key" })
        BOOST_TEST(runTool({ "document", action, "--help" }).exitCode == 0);
    BOOST_TEST(apply("plans", 0).exitCode == 6);
    BOOST_TEST(tool({ "document", "show", "--section", "colours" }).exitCode == 3);
}

BOOST_AUTO_TEST_SUITE_END()
