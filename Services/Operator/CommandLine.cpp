#include "Services/Operator/CommandLine.h"

#include <charconv>
#include <iostream>

namespace Lavenderpick {

namespace {

void printActions(std::ostream &stream, const std::vector<Action> &actions, const char *command)
{
    constexpr std::size_t column = 12;
    stream << "Usage: lavenderpick " << command << " <action> [options]\n\nActions:\n";
    for (const Action &action : actions)
        stream << "  " << action.name << std::string(column - action.name.size(), ' ')
               << action.summary << '\n';
    stream << "\n'lavenderpick " << command << " <action> --help' describes an action.\n";
}

} // namespace

CommandLine::CommandLine(const std::string &command, const std::string &summary,
                         const std::vector<std::string> &positional)
    : m_options("lavenderpick " + command, summary)
    , m_positional(positional)
{
    std::string help = "[options]";
    for (const std::string &name : positional) {
        help += " <" + name + ">";
        m_options.add_options()(name, "", cxxopts::value<std::string>());
    }
    m_options.custom_help("[options]");
    m_options.positional_help(help.substr(std::string("[options]").size()));
    m_options.add_options()("help", "show this text")("json", "print JSON");
}

void CommandLine::addText(const std::string &name, const std::string &description,
                          const std::string &fallback)
{
    const auto value = cxxopts::value<std::string>();
    m_options.add_options()(name, description,
                            fallback.empty() ? value : value->default_value(fallback));
}

void CommandLine::addRest(const std::string &name, const std::string &description)
{
    m_rest = name;
    m_options.add_options()(name, description, cxxopts::value<std::vector<std::string>>());
    m_options.positional_help("<" + name + ">...");
}

void CommandLine::addFlag(const std::string &name, const std::string &description)
{
    m_options.add_options()(name, description);
}

bool CommandLine::parse(int argc, char **argv)
{
    std::vector<std::string> withoutDash = m_positional;
    if (!m_rest.empty())
        withoutDash.push_back(m_rest);
    m_options.parse_positional(withoutDash);
    m_result = m_options.parse(argc, argv);
    if (has("help")) {
        std::cout << m_options.help();
        return false;
    }
    if (!m_result.unmatched().empty())
        throw cxxopts::exceptions::parsing("Argument '" + m_result.unmatched().front()
                                           + "' is not expected");
    for (const std::string &name : m_positional)
        requiredText(name);
    return true;
}

std::string CommandLine::text(const std::string &name) const
{
    // A result counts given options only, but also holds the fallbacks.
    try {
        return m_result[name].as<std::string>();
    } catch (const cxxopts::exceptions::exception &) {
        return {};
    }
}

std::string CommandLine::requiredText(const std::string &name) const
{
    std::string value = text(name);
    if (value.empty())
        throw cxxopts::exceptions::parsing("'" + name + "' is missing");
    return value;
}

std::vector<std::string> CommandLine::requiredRest(const std::string &name) const
{
    if (!has(name))
        throw cxxopts::exceptions::parsing("'" + name + "' is missing");
    return m_result[name].as<std::vector<std::string>>();
}

std::optional<std::int64_t> CommandLine::number(const std::string &name) const
{
    const std::string value = text(name);
    if (value.empty())
        return std::nullopt;
    std::int64_t number = 0;
    const char *end = value.data() + value.size();
    const auto [position, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc() || position != end || number < 0)
        throw cxxopts::exceptions::parsing("'--" + name + "' must be a whole number from 0");
    return number;
}

void CommandLine::print(const nlohmann::json &json, const std::string &text) const
{
    if (wantsJson())
        std::cout << json.dump(2) << '\n';
    else
        std::cout << text;
}

ExitCode runAction(const std::vector<Action> &actions, int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        printActions(std::cout, actions, argv[0]);
        return ExitCode::Success;
    }
    for (const Action &action : actions) {
        if (action.name == name)
            return action.run(argc - 1, argv + 1);
    }
    printActions(std::cerr, actions, argv[0]);
    return ExitCode::Usage;
}

} // namespace Lavenderpick
