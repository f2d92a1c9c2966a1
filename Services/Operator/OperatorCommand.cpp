#include "Services/Operator/OperatorCommand.h"

#include "Services/Operator/DocumentCommand.h"
#include "Services/Operator/ExplainCommand.h"
#include "Services/Operator/StatusCommand.h"
#include "Services/Operator/UpstreamCommand.h"
#include "lavenderpick/Base/Log.h"

#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string_view>

namespace Lavenderpick {

namespace {

bool wantsJson(int argc, char **argv)
{
    for (int index = 1; index < argc; ++index) {
        if (std::string_view(argv[index]) == "--json")
            return true;
    }
    return false;
}

ExitCode fail(bool json, std::string_view kind, const std::string &message, ExitCode code)
{
    if (json)
        std::cerr << nlohmann::json { { "error", kind }, { "message", message } }.dump(2) << '\n';
    else
        std::cerr << message << '\n';
    return code;
}

ExitCode run(int argc, char **argv)
{
    const std::string_view name = argv[0];
    if (name == "document")
        return runDocumentCommand(argc, argv);
    if (name == "upstream")
        return runUpstreamCommand(argc, argv);
    if (name == "explain")
        return runExplainCommand(argc, argv);
    return runStatusCommand(argc, argv);
}

} // namespace

int runOperatorCommand(int argc, char **argv)
{
    initializeLog(LogLevel::Warning, "operator");
    const bool json = wantsJson(argc, argv);
    ExitCode code = ExitCode::Success;
    try {
        code = run(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        code = fail(json, "usage", std::string(error.what()) + ". See --help.", ExitCode::Usage);
    } catch (const Error &error) {
        code = fail(json, toString(error.kind()), error.what(), exitCodeFor(error.kind()));
    } catch (const std::exception &error) {
        code = fail(json, "invalid", error.what(), ExitCode::Invalid);
    }
    return static_cast<int>(code);
}

} // namespace Lavenderpick
