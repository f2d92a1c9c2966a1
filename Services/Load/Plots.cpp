#include "Services/Load/Plots.h"

#include "lavenderpick/Base/Error.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace Lavenderpick::Load {

namespace {

std::ofstream openFile(const std::string &path)
{
    std::ofstream file(path);
    if (!file)
        throw Error(ErrorKind::InvalidSettings, "Cannot write " + path,
                    "Choose a folder that can be written.");
    return file;
}

std::string dataName(std::size_t run)
{
    return "run-" + std::to_string(run) + ".dat";
}

} // namespace

void Plots::add(const Results &results)
{
    m_runs.push_back({ results.experiment().name, results.requests() });
}

void Plots::write(const std::string &folder) const
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    for (std::size_t run = 0; run < m_runs.size(); ++run)
        writeData(folder + "/" + dataName(run), m_runs[run]);
    writeScript(folder + "/plots.gp");
}

void Plots::writeData(const std::string &path, const Run &run)
{
    std::ofstream file = openFile(path);
    std::vector<const RequestResult *> completed;
    for (const RequestResult &result : run.requests) {
        if (result.completed)
            completed.push_back(&result);
    }
    // Sorted by time to first token, so that the line number gives the cumulative share.
    std::sort(completed.begin(), completed.end(), [](const auto *left, const auto *right) {
        return left->firstTokenSeconds < right->firstTokenSeconds;
    });
    file << "# prompt_tokens first_token_s response_s slowdown share\n";
    double line = 0;
    for (const RequestResult *result : completed) {
        const double idle = std::max(1e-9, result->idleResponseSeconds);
        file << result->arrival.promptTokens << ' ' << result->firstTokenSeconds << ' '
             << result->responseSeconds << ' ' << result->responseSeconds / idle << ' '
             << ++line / static_cast<double>(completed.size()) << '\n';
    }
}

void Plots::writeScript(const std::string &path) const
{
    std::ofstream file = openFile(path);
    file << "# Run 'gnuplot plots.gp' in this folder.\n"
            "set terminal svg size 900,600 dynamic\nset grid\nset logscale x\n";
    const auto plot = [&](const std::string &output, const std::string &columns) {
        file << "set output '" << output << "'\nplot ";
        for (std::size_t run = 0; run < m_runs.size(); ++run)
            file << (run > 0 ? ", " : "") << "'" << dataName(run) << "' using " << columns
                 << " title '" << m_runs[run].name << "' noenhanced";
        file << '\n';
    };
    file << "set xlabel 'time to first token, s'\nset ylabel 'share of requests'\n";
    plot("first-token.svg", "2:5 with lines");
    file << "set logscale y\nset xlabel 'prompt, tokens'\nset ylabel 'time to first token, s'\n";
    plot("first-token-by-length.svg", "1:2 with dots");
    file << "set ylabel 'slowdown'\n";
    plot("slowdown-by-length.svg", "1:4 with dots");
}

} // namespace Lavenderpick::Load
