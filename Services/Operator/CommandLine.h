#pragma once

#include "Services/Operator/ExitCode.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderpick {

/// The options of one action, such as `document apply`.
class CommandLine
{
public:
    /// `positional` names the arguments without a dash, in order; they are required.
    CommandLine(const std::string &command, const std::string &summary,
                const std::vector<std::string> &positional = {});

    /// Adds an option with a text value.
    void addText(const std::string &name, const std::string &description,
                 const std::string &fallback = {});

    /// Adds an option that takes all arguments without a dash that are left.
    void addRest(const std::string &name, const std::string &description);

    void addFlag(const std::string &name, const std::string &description);

    /// Parses `argv[1]` and what follows. Returns false after `--help`, whose text is then printed.
    /// Throws `cxxopts::exceptions::exception` for a wrong command line.
    bool parse(int argc, char **argv);

    bool has(const std::string &name) const { return m_result.count(name) > 0; }
    std::string text(const std::string &name) const;

    /// Throws like `parse` when the option is missing.
    std::string requiredText(const std::string &name) const;

    /// The arguments of `addRest`. Throws like `parse` when there are none.
    std::vector<std::string> requiredRest(const std::string &name) const;

    /// The number of an option from 0, or nothing when it is missing; throws like `parse`.
    std::optional<std::int64_t> number(const std::string &name) const;

    bool wantsJson() const { return has("json"); }

    /// Prints the result in the form that was asked for.
    void print(const nlohmann::json &json, const std::string &text) const;

private:
    cxxopts::Options m_options;
    std::vector<std::string> m_positional;
    std::string m_rest; ///< The option that takes what is left, or empty.
    cxxopts::ParseResult m_result;
};

/// One action of a command.
struct Action
{
    std::string_view name;
    ExitCode (*run)(int argc, char **argv);
    std::string_view summary;
};

/// Runs the action that `argv[1]` names, or prints the list of actions.
ExitCode runAction(const std::vector<Action> &actions, int argc, char **argv);

} // namespace Lavenderpick
