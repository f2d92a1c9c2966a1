#include "BoundedLineSink.h"

#include <algorithm>
#include <boost/log/attributes/value_extraction.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace Lavenderpick {

BoundedLineSink::BoundedLineSink()
    : m_refilledAt(std::chrono::steady_clock::now())
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool BoundedLineSink::takeFromBudget(bool isUrgent)
{
    const auto now = std::chrono::steady_clock::now();
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_budget = std::min(linesPerSecond, m_budget + elapsed * linesPerSecond);
    if (m_budget < (isUrgent ? 1 : 1 + reservedLines))
        return false;
    m_budget -= 1;
    return true;
}

bool BoundedLineSink::writeLine(const std::string &line)
{
    // A pipe takes a line of up to PIPE_BUF bytes whole or not at all.
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void BoundedLineSink::consume(const boost::log::record_view &record, const std::string &line)
{
    const auto level = boost::log::extract<LogLevel>("Severity", record);
    if (!takeFromBudget(level && *level >= LogLevel::Warning)) {
        ++m_dropped;
        return;
    }
    std::string text;
    if (m_dropped > 0)
        text = "{\"component\":\"log\",\"message\":\"lines dropped\",\"count\":"
                + std::to_string(m_dropped) + "}\n";
    text += line + "\n";
    if (writeLine(text))
        m_dropped = 0;
    else
        ++m_dropped;
}

} // namespace Lavenderpick
