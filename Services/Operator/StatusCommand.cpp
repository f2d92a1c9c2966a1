#include "Services/Operator/StatusCommand.h"

#include "Services/Operator/CommandLine.h"
#include "Services/Operator/DocumentApply.h"
#include "Services/Operator/OperatorSession.h"

#include <map>

namespace Lavenderpick {

namespace {

void showProcess(const CommandLine &line, OperatorSession &session, const std::string &address)
{
    nlohmann::json json = nlohmann::json::object();
    std::string text;
    for (const char *path : { "/health", "/ready", "/internal/status" }) {
        const auto answer = session.ask(address, path);
        if (!answer)
            continue;
        json[path] = *answer;
        text += std::string(path) + "  " + answer->dump() + "\n";
    }
    if (json.empty())
        throw Error(ErrorKind::UpstreamUnavailable, address + " did not respond",
                    "Check the address, and whether the process runs.");
    line.print(json, text);
}

void showDeployment(const CommandLine &line, OperatorSession &session)
{
    const Document document = session.store().load();
    std::map<std::string, std::map<std::string, int>> vms;
    for (const Vm &vm : session.vmList().changesSince(0).vms)
        ++vms[vm.role][std::string(toString(vm.state))];
    std::string text = describeVersions(document);
    for (const auto &[role, states] : vms) {
        text += "VMs of role " + role + ":";
        for (const auto &[state, count] : states)
            text += " " + std::to_string(count) + " " + state;
        text += "\n";
    }
    line.print({ { "document", sectionVersions(document) }, { "vms", vms } }, text);
}

} // namespace

ExitCode runStatusCommand(int argc, char **argv)
{
    CommandLine line("status",
                     "Shows the versions of the document and the VMs of the platform's list, or\n"
                     "the state of one process.");
    line.addText("address", "host and port of a process");
    OperatorSession::addOption(line);
    if (!line.parse(argc, argv))
        return ExitCode::Success;
    OperatorSession session(OperatorSession::settingsOf(line));
    if (line.has("address"))
        showProcess(line, session, line.text("address"));
    else
        showDeployment(line, session);
    return ExitCode::Success;
}

} // namespace Lavenderpick
