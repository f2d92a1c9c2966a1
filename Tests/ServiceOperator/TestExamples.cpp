#include "OperatorFixture.h"
#include "Services/Agent/AgentSettings.h"
#include "Services/Entry/EntrySettings.h"
#include "Services/Operator/OperatorSettings.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace Lavenderpick;

namespace {

const std::vector<std::string> deployments { "Enna", "DarCoast" };

std::filesystem::path examples()
{
    const char *source = std::getenv("LAVENDERPICK_SOURCE_DIR");
    BOOST_REQUIRE_MESSAGE(source != nullptr, "Run this test with ctest.");
    return std::filesystem::path(source) / "Examples";
}

/// A folder for files that the example settings refer to.
struct ExampleFixture : OperatorFixture
{
    ExampleFixture() { write("cluster.key", "a cluster key for the examples\n"); }

    /// Copies a settings file so that it names files of this folder.
    std::string localCopy(const std::filesystem::path &file) const
    {
        const std::string installed = "/etc/lavenderpick";
        std::ifstream input(file);
        std::string text { std::istreambuf_iterator<char>(input), {} };
        for (std::size_t at = text.find(installed); at != std::string::npos;
             at = text.find(installed))
            text.replace(at, installed.size(), folder.string());
        write("copy.yaml", text);
        return path("copy.yaml");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ExampleTests, ExampleFixture)

// Guards against example documents that the checks refuse or that no longer apply.
BOOST_AUTO_TEST_CASE(example_documents_are_valid_and_apply)
{
    for (const std::string &deployment : deployments) {
        const auto documents = examples() / deployment / "document";
        const ToolRun check = runTool({ "document", "check", "--folder", documents.string() });
        BOOST_TEST(check.exitCode == 0, check.output);
        for (const std::string &section : sectionNames())
            BOOST_TEST((std::filesystem::exists(documents / (section + ".yaml"))
                        != (section == "plans")),
                       deployment << " " << section);
    }
}

// Guards against example settings with keys or values that the processes refuse.
BOOST_AUTO_TEST_CASE(example_settings_are_valid)
{
    for (const std::string &deployment : deployments) {
        const auto directory = examples() / deployment;
        BOOST_CHECK_NO_THROW(EntrySettings::fromFile(localCopy(directory / "entry.yaml")));
        BOOST_CHECK_NO_THROW(OperatorSettings::fromFile(localCopy(directory / "operator.yaml")));
        int agents = 0;
        for (const auto &file : std::filesystem::directory_iterator(directory)) {
            if (!file.path().filename().string().starts_with("agent-"))
                continue;
            BOOST_CHECK_NO_THROW(AgentSettings::fromFile(localCopy(file.path())));
            ++agents;
        }
        BOOST_TEST(agents == 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()
