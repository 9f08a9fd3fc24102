#include "cli/command.hpp"

#include "cli/exit_status.hpp"
#include "cli/job_commands.hpp"
#include "cli/operator_commands.hpp"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace tanagertrack::cli
{

namespace
{

constexpr int name_width = 16;

void print_help(std::ostream& out)
{
    out << "tanagertrack: command-line tool of the tanagertrack serving "
           "system\n\n"
           "usage: tanagertrack COMMAND [options] [arguments]\n"
           "       tanagertrack COMMAND --help\n\n";
    for (const auto& it : all_commands())
        out << "  " << std::left << std::setw(name_width) << it.name << it.help
            << "\n"
            << std::string(name_width + 2, ' ') << "$ " << it.example << '\n';
    out << "\nexit status: 0 done, 1 failed, 2 wrong arguments, 3 rejected "
           "and not run,\n4 may have run, 5 the entry can't be reached\n";
}

/// Returns true if `words` starts with the words of a command's name. Sets
/// `word_count` to their number.
bool matches_name(std::span<const std::string> words, std::string_view name,
                  std::size_t& word_count)
{
    word_count = 0;
    while (!name.empty())
    {
        const auto end = name.find(' ');
        const auto word = name.substr(0, end);
        if (word_count == words.size() || words[word_count] != word)
            return false;
        ++word_count;
        name = end == std::string_view::npos ? "" : name.substr(end + 1);
    }
    return true;
}

} // namespace

std::span<const command> all_commands()
{
    static const auto commands = []
    {
        auto list = job_commands();
        std::ranges::move(operator_commands(), std::back_inserter(list));
        return list;
    }();
    return commands;
}

int run_command(std::span<const std::string> arguments,
                const command_context& context)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help")
    {
        print_help(arguments.empty() ? context.err : context.out);
        return arguments.empty() ? exit_usage : exit_ok;
    }

    for (const auto& it : all_commands())
    {
        std::size_t name_words = 0;
        if (matches_name(arguments, it.name, name_words))
            return it.run(
                {arguments.begin() + static_cast<std::ptrdiff_t>(name_words),
                 arguments.end()},
                context);
    }
    context.err << "tanagertrack: unknown command '" << arguments[0]
                << "'\nTry: tanagertrack --help\n";
    return exit_usage;
}

} // namespace tanagertrack::cli
