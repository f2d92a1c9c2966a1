#include "EntryCommand.h"

#include "Services/Entry/EntryProcess.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Log.h"

#include <cxxopts.hpp>
#include <iostream>

namespace Lavenderpick {

namespace {

constexpr int usageExitCode = 2;

cxxopts::Options commandOptions()
{
    cxxopts::Options options("lavenderpick entry", "Serves callers on an entry VM.");
    options.add_options()("settings", "settings file in YAML", cxxopts::value<std::string>())(
            "check-settings", "check the settings file and exit")("help", "show this text");
    return options;
}

} // namespace

int runEntryCommand(int argc, char **argv)
try {
    cxxopts::Options options = commandOptions();
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help() << '\n';
        return 0;
    }
    if (arguments.count("settings") == 0) {
        std::cerr << "The option --settings is missing. See 'lavenderpick entry --help'.\n";
        return usageExitCode;
    }
    const EntrySettings settings = EntrySettings::fromFile(arguments["settings"].as<std::string>());
    if (arguments.count("check-settings") > 0) {
        std::cout << "The settings are correct.\n";
        return 0;
    }
    initializeLog(settings.logLevel, settings.name);
    EntryProcess process(settings);
    process.run();
    return 0;
} catch (const cxxopts::exceptions::exception &error) {
    std::cerr << error.what() << "\nSee 'lavenderpick entry --help'.\n";
    return usageExitCode;
} catch (const Error &error) {
    std::cerr << error.what() << '\n';
    return error.kind() == ErrorKind::InvalidSettings ? usageExitCode : 1;
}

} // namespace Lavenderpick
