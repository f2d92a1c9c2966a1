#pragma once

#include "lavenderpick/Base/Log.h"

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <chrono>
#include <cstdint>
#include <string>

namespace Lavenderpick {

/// A log sink that writes lines to standard output and never waits for its reader.
///
/// Lines over `linesPerSecond`, with a second's worth kept for bursts, and lines that the reader
/// has no room for are dropped. The next line that is written is preceded by their count. A share
/// of the lines is reserved for warnings and errors, which a flood of other lines would hide.
class BoundedLineSink : public boost::log::sinks::basic_formatted_sink_backend<
                                char, boost::log::sinks::synchronized_feeding>
{
public:
    /// A line costs some 10 microseconds, so that logs take at most 1% of a core.
    static constexpr double linesPerSecond = 1'000;
    static constexpr double reservedLines = 100;

    BoundedLineSink();

    void consume(const boost::log::record_view &record, const std::string &line);

private:
    bool takeFromBudget(bool isUrgent);
    bool writeLine(const std::string &line);

    double m_budget { linesPerSecond };
    std::chrono::steady_clock::time_point m_refilledAt;
    std::uint64_t m_dropped { 0 };
};

} // namespace Lavenderpick
