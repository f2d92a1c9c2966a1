#include "lavenderpick/Base/Log.h"

#include "BoundedLineSink.h"
#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

namespace Lavenderpick {

namespace {

constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };

std::atomic<LogLevel> minimumLevel { LogLevel::Info };

std::string &processName()
{
    static std::string name;
    return name;
}

double wallTime()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<double>(
                   std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count())
            / 1000;
}

} // namespace

LogLevel parseLogLevel(std::string_view name)
{
    for (std::size_t index = 0; index < levelNames.size(); ++index) {
        if (levelNames[index] == name)
            return static_cast<LogLevel>(index);
    }
    throw Error(ErrorKind::InvalidSettings, "'" + std::string(name) + "' is not a log level",
                "Use debug, info, warning or error.");
}

void initializeLog(LogLevel level, const std::string &process, LogOutput output)
{
    minimumLevel = level;
    processName() = process;
    boost::log::core::get()->remove_all_sinks();
    if (output == LogOutput::StandardOutput) {
        using Sink = boost::log::sinks::synchronous_sink<BoundedLineSink>;
        const auto sink = boost::make_shared<Sink>();
        sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
        boost::log::core::get()->add_sink(sink);
        return;
    }
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::format = boost::log::expressions::stream
                                        << boost::log::expressions::smessage,
                                boost::log::keywords::auto_flush = true);
}

void log(LogLevel level, std::string_view component, std::string_view message)
{
    log(level, component, message, nlohmann::json::object());
}

void log(LogLevel level, std::string_view component, std::string_view message,
         const nlohmann::json &fields)
{
    if (level < minimumLevel)
        return;
    nlohmann::json line = fields;
    line["time"] = wallTime();
    line["level"] = levelNames[static_cast<std::size_t>(level)];
    line["process"] = processName();
    line["component"] = component;
    line["message"] = message;
    static boost::log::sources::severity_logger_mt<LogLevel> logger;
    BOOST_LOG_SEV(logger, level) << toJsonText(line);
}

} // namespace Lavenderpick
