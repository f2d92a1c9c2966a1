#include "Services/Agent/AgentCommand.h"
#include "Services/Entry/EntryCommand.h"
#include "Services/Load/LoadCommand.h"
#include "Services/Operator/OperatorCommand.h"
#include "platform/GatewayCommand.h"

#include <array>
#include <iostream>
#include <string_view>

namespace {

struct Subcommand
{
    std::string_view name;
    int (*run)(int argc, char **argv);
    std::string_view summary;
};

constexpr int usageExitCode = 2;

constexpr std::array subcommands {
    Subcommand { "entry", Lavenderpick::runEntryCommand, "serve callers on an entry VM" },
    Subcommand { "agent", Lavenderpick::runAgentCommand, "guard the upstream beside this process" },
    Subcommand { "gateway", Lavenderpick::runGatewayCommand,
                 "serve callers before the platform's upstreams" },
    Subcommand { "document", Lavenderpick::runOperatorCommand,
                 "check, show, apply or list changes of one section of the document" },
    Subcommand { "upstream", Lavenderpick::runOperatorCommand,
                 "list upstreams; plan, move or cancel a stop" },
    Subcommand { "status", Lavenderpick::runOperatorCommand,
                 "show the state of a running process" },
    Subcommand { "explain", Lavenderpick::runOperatorCommand,
                 "tell a request's story from the logs of all processes" },
    Subcommand { "load", Lavenderpick::runLoadCommand, "run a load experiment and report it" },
};

void printUsage(std::ostream &stream)
{
    stream << "Usage: lavenderpick <command> [options]\n\nCommands:\n";
    for (const Subcommand &subcommand : subcommands)
        stream << "  " << subcommand.name << std::string(12 - subcommand.name.size(), ' ')
               << subcommand.summary << '\n';
    stream << "\n'lavenderpick <command> --help' describes a command.\n";
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        printUsage(std::cout);
        return 0;
    }
    for (const Subcommand &subcommand : subcommands) {
        if (subcommand.name == name)
            return subcommand.run(argc - 1, argv + 1);
    }
    printUsage(std::cerr);
    return usageExitCode;
}
