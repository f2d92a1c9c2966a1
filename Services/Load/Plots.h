#pragma once

#include "Services/Load/Results.h"

#include <string>
#include <vector>

namespace Lavenderpick::Load {

/// Writes data files and a gnuplot script that draws them as SVG. The tool does not start gnuplot
/// itself, since no process of this project starts another.
class Plots
{
public:
    void add(const Results &results);

    /// Throws `Error` of kind InvalidSettings when the folder can't be written.
    void write(const std::string &folder) const;

private:
    struct Run
    {
        std::string name;
        std::vector<RequestResult> requests;
    };

    static void writeData(const std::string &path, const Run &run);
    void writeScript(const std::string &path) const;

    std::vector<Run> m_runs;
};

} // namespace Lavenderpick::Load
