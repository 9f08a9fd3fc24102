#ifndef TANAGERTRACK_CLI_COMMAND_HPP
#define TANAGERTRACK_CLI_COMMAND_HPP

#include "cli/api_client.hpp"

#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::cli
{

/// What a command uses of the process.
struct command_context
{
    std::ostream& out;
    std::ostream& err;

    /// Value of an environment variable; empty if it isn't set.
    std::function<std::string(const std::string& name)> environment;
};

/// One command of the tool, as "job submit".
struct command
{
    /// Group and verb.
    std::string name;
    std::string help;

    /// A complete command line.
    std::string example;

    /// Runs with the arguments after the name; returns an `exit_status`.
    std::function<int(std::vector<std::string> arguments,
                      const command_context& context)>
        run;
};

/// All commands, in the order of the help page.
std::span<const command> all_commands();

/// Finds the command that the arguments name and runs it.
int run_command(std::span<const std::string> arguments,
                const command_context& context);

} // namespace tanagertrack::cli

#endif
