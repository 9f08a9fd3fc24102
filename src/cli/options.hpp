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

/// Listener of an entry that a command calls.
enum class listener
{
    callers,
    operators
};

/// Argument parser of one command, based on TCLAP. Adds the options that all
/// commands share: `--entry` or `--operator`, `--key`, `--output`,
/// `--timeout-ms`, `--retry-ms`.
class options
{
public:
    /// `name` is the command's name, such as "job submit", `help` one sentence.
    /// `context` must outlive the object.
    options(const std::string& name, const std::string& help, listener kind,
            const command_context& context);
    ~options();

    options(const options&) = delete;
    options& operator=(const options&) = delete;

    /// Adds an argument that is given by its position.
    void add_positional(const std::string& name, const std::string& help,
                        bool required = true);

    /// Adds an option `--name VALUE`.
    void add_value(const std::string& name, const std::string& help,
                   const std::string& default_value);

    /// Adds a switch `--name`.
    void add_flag(const std::string& name, const std::string& help);

    /// Parses and validates the arguments. Returns an exit status if the
    /// command has to end: after `--help`, or after an error, which is printed.
    std::optional<int> parse(std::vector<std::string> arguments);

    /// Returns the value of a positional argument or an option.
    const std::string& value(const std::string& name) const;

    /// Returns true if a switch was given.
    bool flag(const std::string& name) const;

    /// Returns true if `--output json` was given.
    bool json() const;

    /// Returns a client for the address, key and times given.
    api_client client() const;

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

/// Prints the JSON object of a response as text.
using object_printer =
    std::function<void(const boost::json::object& object, std::ostream& out)>;

/// Prints a successful response as JSON or with `print`, depending on
/// `--output`. Reports any other response as an error. Returns the exit status.
int print_answer(const options& args, const api_answer& answer,
                 const command_context& context, const object_printer& print);

} // namespace tanagertrack::cli

#endif
