#include "cli/job_commands.hpp"

#include "cli/answers.hpp"
#include "cli/exit_status.hpp"
#include "cli/options.hpp"
#include "common/hash.hpp"

#include <boost/json/serialize.hpp>

#include <array>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <thread>

namespace tanagertrack::cli
{

namespace json = boost::json;

namespace
{

using arguments = std::vector<std::string>;

constexpr std::chrono::milliseconds watch_interval{500};

/// Numbers of a job's items by state.
struct job_counts
{
    std::uint64_t total;
    std::uint64_t completed;
    std::uint64_t failed;
    std::uint64_t unknown;
    std::uint64_t cancelled;
};

job_counts counts_of(const json::object& job)
{
    const auto count = [&job](std::string_view name)
    {
        return count_of(job, "request_counts", name);
    };
    return {count("total"), count("completed"), count("failed"),
            count("unknown"), count("cancelled")};
}

void print_job(const json::object& job, std::ostream& out)
{
    const auto n = counts_of(job);
    out << member_text(job, "id") << "  " << member_text(job, "status") << "  "
        << n.completed << "/" << n.total << " completed, " << n.failed
        << " failed, " << n.unknown << " unknown, " << n.cancelled
        << " cancelled\n";
}

std::string job_path(const options& args)
{
    return "/v1/batches/" + args.value("JOB");
}

/// Derives an idempotency key from the content of a file, so that submitting
/// the file again refers to the same job. Returns an empty string if the file
/// can't be read.
std::string content_key(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return {};
    common::incremental_hash hash;
    std::array<char, 65536> buf;
    while (file)
    {
        file.read(buf.data(), buf.size());
        hash.update({buf.data(), static_cast<std::size_t>(file.gcount())});
    }
    return "content-" + common::to_hex(hash.digest());
}

int submit(arguments command_line, const command_context& context)
{
    options args("job submit", "Submits a JSON Lines file as a batch job.",
                 listener::callers, context);
    args.add_positional("FILE", "JSON Lines file, one item a line");
    args.add_value("idempotency-key",
                   "key of the job; default derived from the file's content",
                   "");
    if (const auto status = args.parse(std::move(command_line)))
        return *status;

    const auto& file = args.value("FILE");
    auto key = args.value("idempotency-key");
    const auto derived = content_key(file);
    if (derived.empty())
    {
        context.err << file << ": can't be read\n";
        return exit_usage;
    }
    if (key.empty())
        key = derived;

    api_request request;
    request.method = "POST";
    request.target = "/v1/batches";
    request.content_type = "application/jsonl";
    request.idempotency_key = key;
    request.body_file = file;
    return print_answer(args, args.client().call(request), context, print_job);
}

int list(arguments command_line, const command_context& context)
{
    options args("job list", "Lists the team's jobs.", listener::callers,
                 context);
    if (const auto status = args.parse(std::move(command_line)))
        return *status;

    const auto answer = args.client().call({.target = "/v1/batches"});
    if (!succeeded(answer))
        return report_failure(answer, context.err);
    if (args.json())
    {
        context.out << answer.body << '\n';
        return exit_ok;
    }
    const auto body = parse_object(answer.body);
    const auto* jobs = body.if_contains("data");
    if (jobs == nullptr || !jobs->is_array())
        return exit_failed;
    for (const auto& it : jobs->get_array())
    {
        if (it.is_object())
            print_job(it.get_object(), context.out);
    }
    return exit_ok;
}

int show(arguments command_line, const command_context& context)
{
    options args("job show", "Shows one job.", listener::callers, context);
    args.add_positional("JOB", "id of the job");
    if (const auto status = args.parse(std::move(command_line)))
        return *status;
    const auto answer = args.client().call({.target = job_path(args)});
    return print_answer(args, answer, context, print_job);
}

/// Returns the exit status for a job that has ended, or std::nullopt while it
/// is in progress.
std::optional<int> final_status(const json::object& job)
{
    const auto status = member_text(job, "status");
    if (status == "cancelled" || status == "expired")
        return exit_failed;
    if (status != "completed")
        return std::nullopt;
    const auto n = counts_of(job);
    return n.failed + n.unknown == 0 ? exit_ok : exit_failed;
}

int watch(arguments command_line, const command_context& context)
{
    options args("job watch",
                 "Shows a job's progress until it ends; status 0 when all its "
                 "items succeeded.",
                 listener::callers, context);
    args.add_positional("JOB", "id of the job");
    if (const auto status = args.parse(std::move(command_line)))
        return *status;

    const auto client = args.client();
    std::string last;
    for (;;)
    {
        const auto answer = client.call({.target = job_path(args)});
        if (!succeeded(answer))
            return report_failure(answer, context.err);
        if (answer.body != last)
            print_answer(args, answer, context, print_job);
        context.out.flush();
        last = answer.body;
        if (const auto status = final_status(parse_object(answer.body)))
            return *status;
        std::this_thread::sleep_for(watch_interval);
    }
}

int results(arguments command_line, const command_context& context)
{
    options args("job results", "Prints the results as JSON Lines.",
                 listener::callers, context);
    args.add_positional("JOB", "id of the job");
    if (const auto status = args.parse(std::move(command_line)))
        return *status;

    const auto answer =
        args.client().stream({.target = job_path(args) + "/results"},
                             [&context](std::string_view piece)
                             {
                                 context.out << piece;
                                 return context.out.good();
                             });
    return succeeded(answer) ? exit_ok : report_failure(answer, context.err);
}

int cancel(arguments command_line, const command_context& context)
{
    options args("job cancel", "Cancels a job.", listener::callers, context);
    args.add_positional("JOB", "id of the job");
    if (const auto status = args.parse(std::move(command_line)))
        return *status;
    api_request request;
    request.method = "POST";
    request.target = job_path(args) + "/cancel";
    return print_answer(args, args.client().call(request), context, print_job);
}

} // namespace

std::vector<command> job_commands()
{
    return {
        {"job submit", "submit a JSON Lines file as a batch job",
         "tanagertrack job submit --entry 127.0.0.1:8080 --key KEY items.jsonl",
         submit},
        {"job list", "list the team's jobs", "tanagertrack job list", list},
        {"job show", "show one job", "tanagertrack job show batch-3-9f2c",
         show},
        {"job watch", "show a job's progress until it ends",
         "tanagertrack job watch batch-3-9f2c", watch},
        {"job results", "print a job's results as JSON Lines",
         "tanagertrack job results batch-3-9f2c > results.jsonl", results},
        {"job cancel", "cancel a job", "tanagertrack job cancel batch-3-9f2c",
         cancel},
    };
}

} // namespace tanagertrack::cli
