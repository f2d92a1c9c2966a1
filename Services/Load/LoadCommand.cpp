#include "LoadCommand.h"

#include "Services/Load/FleetModel.h"
#include "Services/Load/HttpLoad.h"
#include "Services/Load/Plots.h"
#include "lavenderpick/Base/Error.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

using namespace Load;

namespace {

constexpr int usageExitCode = 2;

cxxopts::Options loadOptions()
{
    std::string mechanisms;
    for (const std::string &mechanism : experimentMechanisms)
        mechanisms += " " + mechanism;
    cxxopts::Options options("lavenderpick load",
                             "Runs a load experiment and reports it.\n\nMechanisms that a run in "
                             "'mode: model' may switch off:"
                                     + mechanisms + "\n");
    options.add_options()("help", "show this text")("experiment", "experiment in YAML",
                                                    cxxopts::value<std::string>())(
            "json", "write the report as JSON to this file", cxxopts::value<std::string>())(
            "plots", "write data and a gnuplot script for SVG plots to this folder",
            cxxopts::value<std::string>());
    return options;
}

void runExperiment(Results &results)
{
    if (results.experiment().mode == "http")
        HttpLoad(results).run();
    else
        FleetModel(results.experiment()).run(results);
}

void writeJson(const std::string &path, const std::vector<nlohmann::json> &runs)
{
    std::ofstream file(path);
    file << nlohmann::json(runs).dump(2) << '\n';
    if (!file)
        throw Error(ErrorKind::InvalidSettings, "Cannot write " + path,
                    "Choose a file that can be written.");
}

} // namespace

int runLoadCommand(int argc, char **argv)
{
    try {
        cxxopts::Options options = loadOptions();
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help() << '\n';
            return 0;
        }
        if (arguments.count("experiment") == 0)
            throw Error(ErrorKind::InvalidSettings, "No experiment is given",
                        "Pass --experiment FILE; --help lists the options.");
        std::vector<nlohmann::json> reports;
        Plots plots;
        for (const Experiment &experiment :
             readExperiments(arguments["experiment"].as<std::string>())) {
            Results results(experiment);
            runExperiment(results);
            reports.push_back(results.toJson());
            plots.add(results);
        }
        printTable(std::cout, reports);
        if (arguments.count("json") > 0)
            writeJson(arguments["json"].as<std::string>(), reports);
        if (arguments.count("plots") > 0)
            plots.write(arguments["plots"].as<std::string>());
        return 0;
    } catch (const Error &error) {
        std::cerr << error.what() << '\n';
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "\n'lavenderpick load --help' lists the options.\n";
    }
    return usageExitCode;
}

} // namespace Lavenderpick
