#include "Services/Operator/ExplainCommand.h"

#include "Services/Operator/CommandLine.h"
#include "Services/Operator/RequestStory.h"

#include <fstream>

namespace Lavenderpick {

namespace {

std::ifstream openLog(const std::string &path)
{
    std::ifstream log(path);
    if (!log)
        throw Error(ErrorKind::NotFound, "Can't read '" + path + "'",
                    "Name log files that this user may read.");
    return log;
}

} // namespace

ExitCode runExplainCommand(int argc, char **argv)
{
    CommandLine line(
            "explain",
            "Tells a request's story from the logs of all processes, in order of time, with\n"
            "what its gateways and upstreams went through meanwhile.");
    line.addText("id", "the request's id, as its caller sent it");
    line.addRest("file", "logs of one or more processes");
    if (!line.parse(argc, argv))
        return ExitCode::Success;
    RequestStory story(line.requiredText("id"));
    const std::vector<std::string> files = line.requiredRest("file");
    for (const std::string &file : files) {
        std::ifstream log = openLog(file);
        story.readRequest(log);
    }
    if (story.isEmpty())
        throw Error(ErrorKind::NotFound, "No line names the request " + line.text("id"),
                    "Give the logs of all gateways at the time of the request; a line "
                    "'lines dropped' there tells of gaps.");
    for (const std::string &file : files) {
        std::ifstream log = openLog(file);
        story.readSurroundings(log);
    }
    line.print(story.toJson(), story.toText());
    return ExitCode::Success;
}

} // namespace Lavenderpick
