#pragma once

#include "PlatformServer.h"
#include "Services/Operator/OperatorCommand.h"
#include "lavenderpick/Document/DocumentStore.h"
#include "lavenderpick/Http/HttpClient.h"
#include "lavenderpick/Platform/HttpPlatform.h"
#include "lavenderpick/Settings/YamlDocument.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace Lavenderpick {

/// Result of one run of the tool.
struct ToolRun
{
    int exitCode { 0 };
    std::string output {}; ///< Standard output and error.
};

/// Runs the tool in this process with the given arguments.
inline ToolRun runTool(std::vector<std::string> arguments)
{
    std::vector<char *> argv;
    for (std::string &argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    std::ostringstream output;
    std::streambuf *previousOutput = std::cout.rdbuf(output.rdbuf());
    std::streambuf *previousError = std::cerr.rdbuf(output.rdbuf());
    const int exitCode = runOperatorCommand(static_cast<int>(arguments.size()), argv.data());
    std::cout.rdbuf(previousOutput);
    std::cerr.rdbuf(previousError);
    return { exitCode, output.str() };
}

/// A platform stand-in, a folder for files, and an operator `ops` who may change everything but
/// `services`.
struct OperatorFixture
{
    StandIns::PlatformServer server { {} };
    std::string address { "127.0.0.1:" + std::to_string(server.start(0)) };
    SystemClock clock {};
    SystemRandom random {};
    HttpPlatform platform { address, clock };
    DocumentStore store { platform, platform, random, clock };
    HttpClient control { address, clock };
    std::filesystem::path folder { std::filesystem::temp_directory_path()
                                   / newIdentifier(random, "lavenderpick-test") };

    OperatorFixture()
    {
        std::filesystem::create_directory(folder);
        write("settings.yaml",
              "platform: { address: " + address + ", timeout: 500 ms }\n"
                      + "operator: { key_file: " + path("ops.key") + " }\n");
        write("operators.yaml",
              "ops:\n  sections: [operators, customers, models, priorities, plans]\n  keys:\n    "
              "- " + makeKey("ops"));
    }

    ~OperatorFixture() { std::filesystem::remove_all(folder); }

    std::string path(const std::string &name) const { return folder / name; }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(path(name)) << text;
    }

    /// Writes `<name>.key` and returns its hash as a YAML item.
    std::string makeKey(const std::string &name) const
    {
        const ToolRun run = runTool({ "document", "hash-key", "--name", name, "--json" });
        const auto json = nlohmann::json::parse(run.output);
        write(name + ".key", json["key"].get<std::string>() + "\n");
        return json["keys"][0].dump() + "\n";
    }

    ToolRun tool(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), { "--settings", path("settings.yaml") });
        return runTool(std::move(arguments));
    }

    ToolRun apply(const std::string &section, std::int64_t base) const
    {
        return tool({ "document", "apply", "--section", section, "--file", path(section + ".yaml"),
                      "--base", std::to_string(base) });
    }

    void bootstrap() const { apply("operators", 0); }

    void setFaults(const nlohmann::json &faults)
    {
        control.send({ .method = "POST", .path = "/faults", .body = faults.dump() });
    }
};

} // namespace Lavenderpick
