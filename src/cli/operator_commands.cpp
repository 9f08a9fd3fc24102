#include "cli/operator_commands.hpp"

#include "cli/answers.hpp"
#include "cli/exit_status.hpp"
#include "cli/options.hpp"

#include <boost/json/serialize.hpp>

#include <fstream>
#include <ostream>
#include <sstream>

namespace tanagertrack::cli
{

namespace json = boost::json;

namespace
{

using arguments = std::vector<std::string>;

/// Prints each member of an object on a line of its own.
void print_members(const json::object& object, std::ostream& out)
{
    for (const auto& it : object)
        out << std::string_view(it.key()) << ": "
            << member_text(object, it.key()) << '\n';
}

int ticket_apply(arguments command_line, const command_context& context)
{
    options args("ticket apply",
                 "Hands in a change ticket and prints its verdict.",
                 listener::operators, context);
    args.add_positional("FILE", "YAML ticket");
    if (const auto status = args.parse(std::move(command_line)))
        return *status;

    std::ifstream file(args.value("FILE"), std::ios::binary);
    std::ostringstream body;
    body << file.rdbuf();
    if (!file)
    {
        context.err << args.value("FILE") << ": can't be read\n";
        return exit_usage;
    }

    api_request request;
    request.method = "POST";
    request.target = "/operator/tickets";
    request.content_type = "application/yaml";
    request.body = body.str();
    return print_answer(args, args.client().call(request), context,
                        print_members);
}

int ticket_status(arguments command_line, const command_context& context)
{
    options args("ticket status", "Shows the verdict on a ticket.",
                 listener::operators, context);
    args.add_positional("NUMBER", "number of the ticket");
    if (const auto status = args.parse(std::move(command_line)))
        return *status;
    const auto answer = args.client().call(
        {.target = "/operator/tickets/" + args.value("NUMBER")});
    return print_answer(args, answer, context, print_members);
}

/// Prints the objects of the array "targets" as a table, one target per line.
void print_targets(const json::object& body, std::ostream& out)
{
    const auto* targets = body.if_contains("targets");
    if (targets == nullptr || !targets->is_array())
        return;
    out << "target  online  batch  queued  slots  leaving  version\n";
    for (const auto& it : targets->get_array())
    {
        if (!it.is_object())
            continue;
        const auto& row = it.get_object();
        for (const auto* name :
             {"target", "running_online", "running_batch", "queued_online",
              "slots", "leaving", "config_version"})
            out << member_text(row, name) << "  ";
        out << '\n';
    }
}

int target_list(arguments command_line, const command_context& context)
{
    options args("target list", "Lists the targets that an entry knows.",
                 listener::operators, context);
    if (const auto status = args.parse(std::move(command_line)))
        return *status;
    const auto answer = args.client().call({.target = "/operator/targets"});
    if (!succeeded(answer) || args.json())
        return print_answer(args, answer, context, print_members);
    print_targets(parse_object(answer.body), context.out);
    return exit_ok;
}

int entry_status(arguments command_line, const command_context& context)
{
    options args("status", "Shows the state of an entry.", listener::operators,
                 context);
    if (const auto status = args.parse(std::move(command_line)))
        return *status;
    return print_answer(args,
                        args.client().call({.target = "/operator/status"}),
                        context, print_members);
}

} // namespace

std::vector<command> operator_commands()
{
    return {
        {"ticket apply", "hand in a change ticket",
         "tanagertrack ticket apply --operator 127.0.0.1:8090 --key KEY "
         "ticket-17.yaml",
         ticket_apply},
        {"ticket status", "show the verdict on a ticket",
         "tanagertrack ticket status 17", ticket_status},
        {"target list", "list the targets that an entry knows",
         "tanagertrack target list --output json", target_list},
        {"status", "show the state of an entry", "tanagertrack status",
         entry_status},
    };
}

} // namespace tanagertrack::cli
