#ifndef TANAGERTRACK_CLI_OPTIONS_HPP
#define TANAGERTRACK_CLI_OPTIONS_HPP

#include "cli/api_client.hpp"
#include "cli/command.hpp"

#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::cli
{

/// Which listener of an entry a command calls.
enum class listener
{
    callers,
    operators
};

/// Argument parser of one command on TCLAP, with the options that all
/// commands share: `--entry` or `--operator`, `--key`, `--output`,
/// `--timeout-ms`, `--retry-ms`.
class options
{
public:
    /// `name` as "job submit"; `help` is one sentence.
    options(const std::string& name, const std::string& help, listener peer,
            const command_context& context);
    ~options();

    options(const options&) = delete;
    options& operator=(const options&) = delete;

    /// Adds an argument without a flag.
    void add_positional(const std::string& name, const std::string& help,
                        bool required = true);

    /// Adds `--name VALUE`.
    void add_value(const std::string& name, const std::string& help,
                   const std::string& default_value);

    /// Adds `--name`.
    void add_flag(const std::string& name, const std::string& help);

    /// Parses. Returns an exit status when the command is not to go on: after
    /// `--help`, or wrong arguments (printed).
    std::optional<int> parse(std::vector<std::string> arguments);

    /// Value of a positional argument or option.
    const std::string& value(const std::string& name) const;

    /// Whether a flag was given.
    bool flag(const std::string& name) const;

    /// Whether `--output json` was given.
    bool json() const;

    /// A client with the address and key given.
    api_client client() const;

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

/// Prints the object of an answer as text.
using object_printer =
    std::function<void(const boost::json::object& object, std::ostream& out)>;

/// Prints a successful answer as JSON or with `print`, another one as its
/// failure. Returns the exit status.
int print_answer(const options& args, const api_answer& answer,
                 const command_context& context, const object_printer& print);

} // namespace tanagertrack::cli

#endif
