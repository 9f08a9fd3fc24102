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

/// Output streams and environment that a command uses.
struct command_context
{
    std::ostream& out;
    std::ostream& err;

    /// Returns the value of an environment variable; empty if it isn't set.
    std::function<std::string(const std::string& name)> environment;
};

/// A command of the tool.
struct command
{
    /// Group and verb, such as "job submit"; or one word.
    std::string name;

    /// One line for the help page.
    std::string help;

    /// A complete command line for the help page.
    std::string example;

    /// Runs the command with the arguments after its name. Returns an
    /// `exit_status`.
    std::function<int(std::vector<std::string> arguments,
                      const command_context& context)>
        run;
};

/// Returns all commands, in the order of the help page.
std::span<const command> all_commands();

/// Runs the command that the first arguments name. Prints the help page for
/// `--help` or `help`. Returns an `exit_status`.
int run_command(std::span<const std::string> arguments,
                const command_context& context);

} // namespace tanagertrack::cli

#endif
